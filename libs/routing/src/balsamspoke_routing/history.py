"""Outcomes of a request's attempts, and the refusal that they lead to."""

import enum

from balsamspoke_types.outcomes import Cause, Ran, Refusal

NON_RETRYABLE_CAUSES = frozenset(
    {
        Cause.MALFORMED,
        Cause.TOO_LARGE,
        Cause.UNSUPPORTED,
        Cause.KEY_MISSING,
        Cause.KEY_REJECTED,
        Cause.KEY_MISPLACED,
        Cause.UNKNOWN_MODEL,
        Cause.UNKNOWN_ROUTE,
        Cause.NOT_ALLOWED,
    }
)
_CAUSES_WITHOUT_RETRY_AFTER = NON_RETRYABLE_CAUSES | {Cause.CANCELLED, Cause.KEY_REUSED}
_MESSAGES = {
    Cause.BACKEND_LOST: "the replica that may have run the request was lost",
    Cause.BACKEND_FAILED: "the backend server failed",
    Cause.CANCELLED: "the request was cancelled",
    Cause.DEADLINE: "the request wasn't answered in time",
    Cause.IN_PROGRESS: "a request with this idempotency key is in progress",
    Cause.KEY_REJECTED: "the key isn't valid any more",
    Cause.KEY_REUSED: "the idempotency key was used for another request",
    Cause.LOAD_FAILED: "the adapter couldn't be loaded",
    Cause.NO_REPLICA: "no replica accepts the request now",
    Cause.OVERLOADED: "the replicas are busy",
    Cause.RECORD_UNAVAILABLE: "the idempotency record couldn't be written",
    Cause.STOPPING: "the replica is stopping",
}


class AttemptOutcome(enum.Enum):
    """How an attempt ended."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class AttemptHistory:
    """Outcomes of the ended attempts of one request.

    Parameters
    ----------
    retry_after : timedelta
        Retry-After of a refusal if no replica suggested one.

    Attributes
    ----------
    attempts_without_progress : int
        Attempts started since the answer last advanced.
    """

    def __init__(self, retry_after):
        self._default_retry_after = retry_after
        self._may_have_run = False
        self._cause = Cause.NO_REPLICA
        self._retry_after = None
        self.attempts_without_progress = 0

    @property
    def ran(self):
        """UNKNOWN if a backend server may have run an ended attempt, else NOT_RUN."""
        return Ran.UNKNOWN if self._may_have_run else Ran.NOT_RUN

    def record_start(self):
        """Count an attempt that starts."""
        self.attempts_without_progress += 1

    def uncount_attempt(self):
        """Exclude the last attempt from the limit on attempts without progress."""
        self.attempts_without_progress -= 1

    def record_progress(self):
        """Reset the count of attempts after the answer has advanced."""
        self.attempts_without_progress = 0

    def record_refused(self, refused):
        """Record an AttemptRefused message; its attempt never runs."""
        self._cause = refused.cause
        if refused.retry_after and (
            self._retry_after is None or refused.retry_after < self._retry_after
        ):
            self._retry_after = refused.retry_after

    def record_not_run(self, cause):
        """Record an attempt that never runs, for a reason other than a refusal."""
        self._cause = cause

    def record_unknown(self, cause):
        """Record an attempt that a backend server may have run."""
        self._may_have_run = True
        self._cause = cause

    def make_refusal(self, cause=None, may_run=False):
        """Return the Refusal that ends the request.

        Parameters
        ----------
        cause : Cause or None
            Cause of the refusal; that of the last ended attempt if None.
        may_run : bool
            Whether an open attempt may have run or may still run.
        """
        cause = cause or self._cause
        ran = Ran.UNKNOWN if may_run else self.ran
        retry_after = self._retry_after or self._default_retry_after
        if cause in _CAUSES_WITHOUT_RETRY_AFTER:
            retry_after = None
        message = _MESSAGES.get(cause, cause.value.replace("_", " "))
        return Refusal(cause, ran, message, retry_after)
