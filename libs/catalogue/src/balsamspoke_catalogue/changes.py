"""Log of the latest changes in order of version."""

import bisect

MAXIMUM_CHANGES = 8192


class ChangeLog:
    """Bounded log of changed objects, which lets deltas skip a scan of all objects.

    Attributes
    ----------
    truncated_revision : int
        Version of the latest change that was truncated; every change with a later
        version is in the log.
    """

    def __init__(self):
        self.truncated_revision = 0
        self._entries = []

    def add(self, version, kind, name):
        """Record that an object has a new version."""
        if version <= self.truncated_revision:
            return
        bisect.insort(self._entries, (version, kind.value, name))
        if len(self._entries) > 2 * MAXIMUM_CHANGES:
            excess = len(self._entries) - MAXIMUM_CHANGES
            self.truncated_revision = self._entries[excess - 1][0]
            del self._entries[
                : bisect.bisect_right(self._entries, (self.truncated_revision + 1,))
            ]

    def iterate_after(self, position):
        """Yield the entries after a position, in order of version.

        Entries and the position are tuples of version, value of the Kind, and name.
        """
        for index in range(bisect.bisect_right(self._entries, position), len(self)):
            yield self._entries[index]

    def __len__(self):
        return len(self._entries)
