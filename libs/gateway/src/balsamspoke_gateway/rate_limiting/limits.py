"""Rates that replicas have named as their limits."""

from dataclasses import dataclass
from datetime import timedelta

# Requests a second that a replica gets whatever it names: only an answer to a request
# shows that the limit has ended.
MIN_RATE = 0.25
MAX_RATE = 1_000_000.0
# Change of a limit, as a fraction of it, that is reported.
REPORTED_CHANGE = 0.1


def bound_rate(rate):
    """Return a rate from outside, within ``MIN_RATE`` and ``MAX_RATE``."""
    # The order of the arguments replaces a rate that is not a number.
    return min(MAX_RATE, max(MIN_RATE, rate))


@dataclass(slots=True)
class _NamedRate:
    rate: float
    reported: float
    named_at: timedelta


class ReplicaRateLimits:
    """Track which replicas name a rate limit, by the start of the replica.

    A replica that is overloaded names the requests a second that it takes from all
    processes together, in each answer for as long as the limit holds.
    """

    def __init__(self):
        self._named = {}

    def record_named(self, record, rate, now):
        """Record that a replica has named its limit.

        Parameters
        ----------
        record : ReplicaRecord
            The replica.
        rate : float
            Requests a second.
        now : timedelta
            Monotonic time.

        Returns
        -------
        bool
            Whether the limit is new or has changed by ``REPORTED_CHANGE``.
        """
        key = (record.id, record.born)
        rate = bound_rate(rate)
        known = self._named.get(key)
        if known is not None:
            known.rate, known.named_at = rate, now
            if abs(rate - known.reported) < REPORTED_CHANGE * known.reported:
                return False
        self._named[key] = _NamedRate(rate, rate, now)
        return True

    def record_unnamed(self, record, sent_at):
        """Record an answer without a limit to a request sent at a monotonic time.

        An answer to a request that was sent before the limit was last named may have
        been made before the limit, so it doesn't lift it.

        Returns
        -------
        bool
            Whether a limit is lifted by it.
        """
        key = (record.id, record.born)
        known = self._named.get(key)
        if known is None or sent_at <= known.named_at:
            return False
        del self._named[key]
        return True

    def lift(self, record):
        """Lift the limit of a replica; return whether there was one."""
        return self._named.pop((record.id, record.born), None) is not None

    def find_rate(self, record):
        """Return the requests a second that a replica takes; None if not limited."""
        known = self._named.get((record.id, record.born))
        return None if known is None else known.rate

    def count(self):
        """Return the number of limited replicas."""
        return len(self._named)

    def retain(self, replica_ids):
        """Forget all replicas but the given ones (by id)."""
        for key in [key for key in self._named if key[0] not in replica_ids]:
            del self._named[key]
