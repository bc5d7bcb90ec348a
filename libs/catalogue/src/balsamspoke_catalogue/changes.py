"""Remember the latest changes in order of version."""

import bisect

MAXIMUM_CHANGES = 8192


class ChangeLog:
    """The kind and name of the latest changes, so that deltas need no scan.

    Attributes
    ----------
    floor : int
        Every change with a later version is in the log.
    """

    def __init__(self):
        self.floor = 0
        self._entries = []

    def add(self, version, kind, name):
        """Note that an object has a new version."""
        if version <= self.floor:
            return
        bisect.insort(self._entries, (version, kind.value, name))
        if len(self._entries) > 2 * MAXIMUM_CHANGES:
            excess = len(self._entries) - MAXIMUM_CHANGES
            self.floor = self._entries[excess - 1][0]
            del self._entries[: bisect.bisect_right(self._entries, (self.floor + 1,))]

    def list_after(self, place):
        """Yield (version, kind value, name) behind such a tuple, in order."""
        for index in range(bisect.bisect_right(self._entries, place), len(self)):
            yield self._entries[index]

    def __len__(self):
        return len(self._entries)
