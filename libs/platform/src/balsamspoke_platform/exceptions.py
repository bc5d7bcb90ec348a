"""Errors of HTTP calls, before a client turns them into those of its port."""

from balsamspoke_types.exceptions import BalsamspokeError


class HttpFailure(BalsamspokeError):
    """Base of the ways in which an HTTP call has no reply."""


class NotSent(HttpFailure):
    """The connection was never made, so nothing was sent."""


class ReplyLost(HttpFailure):
    """The request may have been sent and its reply did not come."""


class EventStreamError(BalsamspokeError):
    """The bytes aren't a stream of events in the expected form."""
