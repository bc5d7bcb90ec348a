"""In-memory fake of the VM list, with injectable lag and outages."""

from datetime import timedelta

from balsamspoke_types.exceptions import VmListUnavailable
from balsamspoke_types.ports import VmList
from twisted.internet.defer import Deferred


class VmListState:
    """State of the VM list, shared by the FakeVmLists of all processes.

    Parameters
    ----------
    time : VirtualTime
        Time of the test.

    Attributes
    ----------
    lag : timedelta
        Age of the list that is returned to readers.
    available : bool
        Set to False to simulate an outage for all processes.
    """

    def __init__(self, time):
        self.time = time
        self.lag = timedelta(0)
        self.available = True
        self._versions = [(time.elapsed, ())]

    def set(self, records):
        """Replace the list by an iterable of VmRecords."""
        self._versions.append((self.time.elapsed, tuple(records)))

    def get_visible(self):
        """Return the tuple of VmRecords that readers get now."""
        read_time = self.time.elapsed - self.lag
        versions = [records for since, records in self._versions if since <= read_time]
        return versions[-1] if versions else self._versions[0][1]


class FakeVmList(VmList):
    """A process's client of the fake VM list.

    Parameters
    ----------
    state : VmListState
        State shared with the clients of other processes.
    clock : VirtualClock
        Clock of the process.

    Attributes
    ----------
    reachable : bool
        Set to False to disconnect this process from the VM list.
    delay : timedelta
        Delay of the reply.
    """

    def __init__(self, state, clock):
        self.state = state
        self.clock = clock
        self.reachable = True
        self.delay = timedelta(milliseconds=1)

    def fetch(self):
        """Return a Deferred of the tuple of VmRecords."""
        result = Deferred()
        when = self.clock.time.elapsed + self.delay
        self.clock.time.schedule(when, self.clock.run_or_defer, self._answer, result)
        return result

    def _answer(self, result):
        if self.state.available and self.reachable:
            result.callback(self.state.get_visible())
        else:
            result.errback(VmListUnavailable("VM list is unavailable"))
