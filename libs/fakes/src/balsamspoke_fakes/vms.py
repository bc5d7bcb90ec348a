"""A VM list in memory, with its lag."""

from datetime import timedelta

from balsamspoke_types.exceptions import VmListUnavailable
from balsamspoke_types.ports import VmList
from twisted.internet.defer import Deferred


class VmListState:
    """What the platform knows; readers see it ``lag`` late.

    Attributes
    ----------
    lag : timedelta
        How old an answer may be.
    available : bool
        Set to False for an outage.
    """

    def __init__(self, time):
        self.time = time
        self.lag = timedelta(0)
        self.available = True
        self._views = [(time.elapsed, ())]

    def set(self, records):
        """Replace the list from now on."""
        self._views.append((self.time.elapsed, tuple(records)))

    def see(self):
        """Return the list as readers see it now."""
        until = self.time.elapsed - self.lag
        views = [records for since, records in self._views if since <= until]
        return views[-1] if views else self._views[0][1]


class FakeVmList(VmList):
    """One process's client of the VM list; ``reachable`` cuts it off."""

    def __init__(self, state, clock):
        self.state = state
        self.clock = clock
        self.reachable = True
        self.delay = timedelta(milliseconds=1)

    def fetch(self):
        """Give the list."""
        result = Deferred()
        when = self.clock.time.elapsed + self.delay
        self.clock.time.schedule(when, self.clock.run_when_awake, self._answer, result)
        return result

    def _answer(self, result):
        if self.state.available and self.reachable:
            result.callback(self.state.see())
        else:
            result.errback(VmListUnavailable("VM list is down"))
