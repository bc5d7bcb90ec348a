"""Errors of HTTP calls and event streams.

Each client translates them to errors of ``balsamspoke_types.exceptions``.
"""

from balsamspoke_types.exceptions import BalsamspokeError


class HttpFailure(BalsamspokeError):
    """Base of the errors of HTTP calls without a complete reply."""


class NotSent(HttpFailure):
    """The connection could not be opened, so nothing was sent."""


class ReplyLost(HttpFailure):
    """The request may have been sent, but no complete reply was received."""


class EventStreamError(BalsamspokeError):
    """An event stream is malformed, too large or reports an error."""
