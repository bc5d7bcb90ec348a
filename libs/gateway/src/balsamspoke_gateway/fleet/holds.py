"""Replicas that get no requests of this process for a time."""

from datetime import timedelta

# Longest time for which a replica is left alone. It limits what a wrong answer costs.
MAX_HOLD = timedelta(minutes=10)


class ReplicaHolds:
    """Track until when replicas get no requests of this process.

    It handles replicas that shed load: whoever goes on sending requests only adds to
    it. A hold is meant for this process alone, so peers aren't told.
    """

    def __init__(self):
        self._ends = {}

    def record(self, record, duration, now):
        """Record that a replica gets nothing for a time.

        Parameters
        ----------
        record : ReplicaRecord
            The replica.
        duration : timedelta
            The time; bounded by ``MAX_HOLD``.
        now : timedelta
            Monotonic time.
        """
        key = (record.id, record.born)
        end = now + min(duration, MAX_HOLD)
        self._ends[key] = max(end, self._ends.get(key, end))

    def clear(self, record):
        """End the hold of a replica, if there is one."""
        self._ends.pop((record.id, record.born), None)

    def find_time_left(self, record, now):
        """Return how long a replica gets nothing; None if it may get requests."""
        end = self._ends.get((record.id, record.born))
        return None if end is None or end <= now else end - now

    def expire(self, now):
        """Forget the holds that are over at a monotonic time.

        The hold of a replica whose entry was removed goes on: it may be back soon.
        """
        for key in [key for key, end in self._ends.items() if end <= now]:
            del self._ends[key]

    def __len__(self):
        return len(self._ends)
