"""What became of the attempts of one request, and the refusal that follows."""

import enum

from balsamspoke_types.outcomes import Cause, Ran, Refusal

FINAL_CAUSES = frozenset(
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
_HOPELESS_CAUSES = FINAL_CAUSES | {Cause.CANCELLED, Cause.KEY_REUSED}
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
    """The ended attempts of one request.

    Parameters
    ----------
    retry_after : timedelta
        What a refusal says if no replica named a time.

    Attributes
    ----------
    without_progress : int
        Attempts begun since the last progress.
    """

    def __init__(self, retry_after):
        self._default_retry_after = retry_after
        self._may_have_run = False
        self._cause = Cause.NO_REPLICA
        self._retry_after = None
        self.without_progress = 0

    @property
    def ran(self):
        """Whether a backend server may have run one of the ended attempts."""
        return Ran.UNKNOWN if self._may_have_run else Ran.NOT_RUN

    def note_begun(self):
        """Count an attempt."""
        self.without_progress += 1

    def uncount_attempt(self):
        """Let the last attempt not count towards the cap."""
        self.without_progress -= 1

    def note_progress(self):
        """Note that the answer got on."""
        self.without_progress = 0

    def note_refused(self, refused):
        """Take AttemptRefused: the attempt never runs."""
        self._cause = refused.cause
        if refused.retry_after and (
            self._retry_after is None or refused.retry_after < self._retry_after
        ):
            self._retry_after = refused.retry_after

    def note_not_run(self, cause):
        """Note an attempt that is known never to run, for another reason."""
        self._cause = cause

    def note_unknown(self, cause):
        """Note an attempt that may have run."""
        self._may_have_run = True
        self._cause = cause

    def make_refusal(self, cause=None, may_run=False):
        """Return the Refusal that ends the request.

        Parameters
        ----------
        cause : Cause or None
            The last attempt's if None.
        may_run : bool
            Whether an attempt is open that may have run, or may run yet.
        """
        cause = cause or self._cause
        ran = Ran.UNKNOWN if may_run else self.ran
        retry_after = self._retry_after or self._default_retry_after
        if cause in _HOPELESS_CAUSES:
            retry_after = None
        message = _MESSAGES.get(cause, cause.value.replace("_", " "))
        return Refusal(cause, ran, message, retry_after)
