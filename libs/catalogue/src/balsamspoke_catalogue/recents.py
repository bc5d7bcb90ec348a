"""Remember what was taken lately."""

from collections import OrderedDict


class RecentChanges:
    """The objects taken within a window, whatever their version.

    Parameters
    ----------
    clock : Clock
        Time.
    window : timedelta
        How long an object stays.
    limit : int
        Objects kept at most.
    """

    def __init__(self, clock, window, limit):
        self._clock = clock
        self._window = window
        self._limit = limit
        self._taken = OrderedDict()

    def add(self, stored):
        """Note that an object was taken now."""
        self._taken.pop((stored.kind, stored.name), None)
        self._taken[stored.kind, stored.name] = self._clock.monotonic(), stored
        if len(self._taken) > self._limit:
            self._taken.popitem(last=False)

    def list_objects(self):
        """Return the objects, the latest first."""
        oldest = self._clock.monotonic() - self._window
        while self._taken and next(iter(self._taken.values()))[0] < oldest:
            self._taken.popitem(last=False)
        return [stored for _, stored in reversed(self._taken.values())]
