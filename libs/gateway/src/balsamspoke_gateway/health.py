"""Which replicas answer: judged by their answers, not by what they claim."""

from dataclasses import dataclass
from datetime import timedelta

FAILURES_TO_AVOID = 2
"""Failures in a row after which a replica gets no requests for a time."""

MIN_BACKOFF = timedelta(milliseconds=500)
MAX_BACKOFF = timedelta(seconds=4)


@dataclass(slots=True)
class _State:
    failures: int = 0
    backoffs: int = 0
    avoided_until: timedelta = timedelta(0)


class ReplicaHealth:
    """Circuit breaker over the replicas, by id.

    Answers replicas that are dark, mute or break off: after failures in a row a
    replica is left out, then one request at a time tries it, and each failed try
    doubles the pause. A success ends it.
    """

    def __init__(self):
        self._states = {}

    def record_success(self, replica_id):
        """Take note of an answer that came."""
        self._states.pop(replica_id, None)

    def record_failure(self, replica_id, now, is_unreachable=False):
        """Take note that no answer came; certain if no connection is accepted."""
        state = self._states.setdefault(replica_id, _State())
        state.failures += 1
        if state.failures < FAILURES_TO_AVOID and not is_unreachable:
            return
        backoff = min(MAX_BACKOFF, MIN_BACKOFF * 2**state.backoffs)
        state.backoffs += 1
        state.avoided_until = now + backoff

    def record_try(self, replica_id, now):
        """Take note that a request goes to a replica."""
        state = self._states.get(replica_id)
        if state is not None and state.backoffs:
            state.avoided_until = now + MAX_BACKOFF

    def is_avoided(self, replica_id, now):
        """Whether to send it nothing while others can take the request."""
        state = self._states.get(replica_id)
        return state is not None and now < state.avoided_until

    def retain(self, replica_ids):
        """Forget the replicas that are gone."""
        for replica_id in set(self._states) - set(replica_ids):
            del self._states[replica_id]
