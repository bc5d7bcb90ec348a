"""Circuit breaker that judges replicas by their answers, not by their own reports."""

from dataclasses import dataclass
from datetime import timedelta

FAILURE_THRESHOLD = 2
"""Consecutive failures after which a replica gets no requests for a time."""

MIN_BACKOFF = timedelta(milliseconds=500)
MAX_BACKOFF = timedelta(seconds=4)


@dataclass(slots=True)
class _State:
    failures: int = 0
    backoff: timedelta = timedelta(0)
    avoided_until: timedelta = timedelta(0)


class ReplicaHealth:
    """Circuit breaker for each replica, by its id.

    It handles replicas that are unreachable, do not respond or break off their answers.
    After consecutive failures a replica is avoided for a backoff, then one request at a
    time probes it, and each failed probe doubles the backoff. A success resets it.
    """

    def __init__(self):
        self._states = {}

    def record_success(self, replica_id):
        """Record that a replica answered."""
        self._states.pop(replica_id, None)

    def record_failure(self, replica_id, now, is_unreachable=False):
        """Record that a replica did not answer.

        Parameters
        ----------
        replica_id : str
            Id of the replica.
        now : timedelta
            Monotonic time.
        is_unreachable : bool
            Whether it accepts no connection; it is then avoided after a single failure.
        """
        state = self._states.setdefault(replica_id, _State())
        state.failures += 1
        if state.failures < FAILURE_THRESHOLD and not is_unreachable:
            return
        state.backoff = min(MAX_BACKOFF, max(MIN_BACKOFF, 2 * state.backoff))
        state.avoided_until = now + state.backoff

    def record_try(self, replica_id, now):
        """Record that a request is sent to a replica.

        If that request is a probe, other requests avoid the replica until it ends, for
        at most ``MAX_BACKOFF``.
        """
        state = self._states.get(replica_id)
        if state is not None and state.backoff:
            state.avoided_until = now + MAX_BACKOFF

    def is_avoided(self, replica_id, now):
        """Return whether a replica gets no requests while others can take them."""
        state = self._states.get(replica_id)
        return state is not None and now < state.avoided_until

    def retain(self, replica_ids):
        """Drop the state of all replicas but the given ones (by id)."""
        for replica_id in set(self._states) - set(replica_ids):
            del self._states[replica_id]
