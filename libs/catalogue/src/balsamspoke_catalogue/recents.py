"""Recently applied changes."""

from collections import OrderedDict


class RecentChanges:
    """Objects applied within a time window, whatever their version.

    Parameters
    ----------
    clock : Clock
        Measures the window.
    window : timedelta
        How long an object is kept.
    limit : int
        Maximum number of objects; the oldest are dropped first.
    """

    def __init__(self, clock, window, limit):
        self._clock = clock
        self._window = window
        self._limit = limit
        self._entries = OrderedDict()

    def add(self, stored):
        """Record that an object was applied now."""
        self._entries.pop((stored.kind, stored.name), None)
        self._entries[stored.kind, stored.name] = self._clock.monotonic(), stored
        if len(self._entries) > self._limit:
            self._entries.popitem(last=False)

    def list_objects(self):
        """Return the objects, latest first."""
        oldest = self._clock.monotonic() - self._window
        while self._entries and next(iter(self._entries.values()))[0] < oldest:
            self._entries.popitem(last=False)
        return [stored for _, stored in reversed(self._entries.values())]
