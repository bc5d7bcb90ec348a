"""Orders to an engine, and what its refusals mean."""

from balsamspoke_types.outcomes import Cause
from balsamspoke_types.ports import GenerationOrder

from .queueing import RANKS

NOT_FOUND = 404
CONFLICT = 409
TOO_MANY = 429
UNAVAILABLE = 503
MALFORMED = (400, 413, 422)


def build_generation_order(order, fencing):
    """Return the GenerationOrder for a RunGeneration."""
    return GenerationOrder(
        str(order.attempt),
        order.adapter,
        order.body,
        order.max_tokens,
        order.resume_offset,
        order.resume_text,
        RANKS[order.priority],
        fencing,
    )


def get_refusal_cause(status):
    """Return the Cause that an engine's status of refusal stands for."""
    if status in MALFORMED:
        return Cause.MALFORMED
    if status in (TOO_MANY, UNAVAILABLE):
        return Cause.OVERLOADED
    if status == CONFLICT:
        return Cause.NO_REPLICA
    return Cause.BACKEND_FAILED
