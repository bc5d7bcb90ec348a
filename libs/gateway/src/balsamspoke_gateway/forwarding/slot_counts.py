"""Counts of events in the last slots of time."""

from collections import deque


class SlotCounts:
    """Count events by the slot of time in which they happen.

    Parameters
    ----------
    slot : timedelta
        Length of a slot.
    size : int
        Number of slots that are kept, with the current one.
    """

    def __init__(self, slot, size):
        self._slot = slot
        self._counts = deque([0] * size, size)
        self._current = 0

    def add(self, now):
        """Count an event at a monotonic time (timedelta)."""
        self._advance(now)
        self._counts[-1] += 1

    def remove(self, counted_at):
        """Take back an event that was counted at a time, if its slot is still kept."""
        age = self._current - counted_at // self._slot
        if age < len(self._counts):
            self._counts[-1 - age] -= 1

    def list_counts(self, now):
        """Return the counts (list of int) of all slots, the current one last."""
        self._advance(now)
        return list(self._counts)

    def _advance(self, now):
        number = now // self._slot
        passed = min(max(0, number - self._current), len(self._counts))
        self._counts.extend([0] * passed)
        self._current = max(self._current, number)
