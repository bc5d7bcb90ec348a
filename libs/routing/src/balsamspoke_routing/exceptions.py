"""Errors of the routing library."""

from balsamspoke_types.exceptions import BalsamspokeError


class RoutingError(BalsamspokeError):
    """Base of the errors of this library."""


class RecordUnavailable(RoutingError):
    """It couldn't be settled that an idempotency record is ours.

    The request that needed it was not handed over.
    """


class RecordMalformed(RoutingError):
    """An object of the idempotency kind isn't a record of ours."""


class UnknownReplica(RoutingError):
    """A replica was named that the directory doesn't know."""
