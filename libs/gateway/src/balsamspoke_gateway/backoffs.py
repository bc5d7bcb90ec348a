"""Backoffs that replicas ask for."""

from datetime import timedelta

# Longest time for which a replica is left alone. It limits what a wrong answer costs.
MAX_BACKOFF = timedelta(minutes=1)


class RequestedBackoffs:
    """Track which replicas want no requests of this process, and until when.

    It handles replicas that shed load: whoever goes on sending requests only adds to
    it. The request is meant for this process alone, so peers aren't told.
    """

    def __init__(self):
        self._ends = {}

    def record(self, record, duration, now):
        """Record that a replica wants nothing for a time.

        Parameters
        ----------
        record : ReplicaRecord
            The replica.
        duration : timedelta
            Time that it asks for; bounded by ``MAX_BACKOFF``.
        now : timedelta
            Monotonic time.
        """
        key = (record.id, record.born)
        end = now + min(duration, MAX_BACKOFF)
        self._ends[key] = max(end, self._ends.get(key, end))

    def find_time_left(self, record, now):
        """Return how long a replica wants nothing; None if it takes requests."""
        end = self._ends.get((record.id, record.born))
        return None if end is None or end <= now else end - now

    def retain(self, replica_ids):
        """Forget all replicas but the given ones (by id)."""
        for key in [key for key in self._ends if key[0] not in replica_ids]:
            del self._ends[key]
