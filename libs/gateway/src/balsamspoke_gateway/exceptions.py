"""Errors that end a request, and errors that end one attempt at a replica."""

from datetime import timedelta


class GatewayError(Exception):
    """Base class of this library's errors."""


class RequestRefused(GatewayError):
    """The request was refused: it has not run and will not run.

    Attributes
    ----------
    retry_after : timedelta or None
        Time after which a retry by the caller may succeed; None if not known.
    """

    def __init__(self, reason, retry_after=None):
        super().__init__(reason)
        self.retry_after = retry_after


class UnknownRoute(RequestRefused):
    """No route of the host has a prefix of the path."""

    def __init__(self, host, path):
        super().__init__(f"no route for {path!r} on host {host!r}")


class UnknownKey(RequestRefused):
    """The route requires a key, and no team holds the one in the request."""

    def __init__(self):
        super().__init__("no team holds the key")


class BodyTooLarge(RequestRefused):
    """The request body exceeds the configured limit."""

    def __init__(self, limit):
        super().__init__(f"the body is longer than {limit} bytes")


class MalformedRequest(RequestRefused):
    """The request has a header or a path that can't be forwarded."""


class BuffersFull(RequestRefused):
    """The VM has no memory left for the request's body."""


class NotReady(RequestRefused):
    """The process has no configuration yet, or is about to end."""


class OverLimit(RequestRefused):
    """The team has used up its token limit."""


class NoReplica(RequestRefused):
    """No replica of the service can take the request at present."""


class Overloaded(RequestRefused):
    """No replica could start the request in time."""


class StreamNotResumable(RequestRefused):
    """A stream can't go on here: a suitable replica is not known, or doesn't exist."""


class PromptQuarantined(RequestRefused):
    """The request, or a part of its prompt, crashes the replicas which answer it."""

    def __init__(self, time_left):
        super().__init__("the request is in quarantine: it crashed replicas", time_left)


class TimedOut(GatewayError):
    """The request's deadline has passed; the request may have run."""


class OutcomeUnknown(GatewayError):
    """The request was sent but no complete answer came; it may have run."""


class AdmissionAbandoned(GatewayError):
    """No prompt is admitted any more at the replica where one waits."""


class AttemptError(GatewayError):
    """An attempt at a replica ended without a usable answer."""


class NotSent(AttemptError):
    """No connection to the replica could be opened; nothing was sent."""


class AnswerLost(AttemptError):
    """The request was sent but no usable answer came; it may have run."""


class ConnectionLost(AnswerLost):
    """The replica's connection ended before its answer did; it may have crashed."""


class ReplicaBusy(AttemptError):
    """The replica refused a call, and wants none for a time.

    Attributes
    ----------
    retry_after : timedelta
        The time that it asked for.
    """

    def __init__(self, retry_after):
        super().__init__(f"refused, with a backoff of {retry_after.total_seconds()} s")
        self.retry_after = retry_after


class AnswerOverdue(AttemptError):
    """The replica did not answer within the time limit of the attempt."""


NO_DELAY = timedelta(0)
