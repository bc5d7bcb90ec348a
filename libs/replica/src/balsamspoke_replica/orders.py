"""Conversion of requests to GenerationOrders, and of refusal statuses to Causes."""

from balsamspoke_types.outcomes import Cause
from balsamspoke_types.ports import GenerationOrder

from .queueing import PRIORITY_RANKS

NOT_FOUND = 404
CONFLICT = 409
TOO_MANY_REQUESTS = 429
SERVICE_UNAVAILABLE = 503
BAD_REQUEST_STATUSES = (400, 413, 422)


def build_generation_order(message, fencing):
    """Return the GenerationOrder for a RunGeneration.

    Parameters
    ----------
    message : RunGeneration
        The request.
    fencing : int
        Fencing token of this process.
    """
    return GenerationOrder(
        str(message.attempt),
        message.adapter,
        message.body,
        message.max_tokens,
        message.resume_offset,
        message.resume_text,
        PRIORITY_RANKS[message.priority],
        fencing,
    )


def get_refusal_cause(status):
    """Return the Cause for the HTTP status with which an engine refused a request."""
    if status in BAD_REQUEST_STATUSES:
        return Cause.MALFORMED
    if status in (TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE):
        return Cause.OVERLOADED
    if status == CONFLICT:
        return Cause.NO_REPLICA
    return Cause.BACKEND_FAILED
