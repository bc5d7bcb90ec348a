"""Errors of the routing library."""

from balsamspoke_types.exceptions import BalsamspokeError


class RoutingError(BalsamspokeError):
    """Base class of the errors of this library."""


class RecordUnavailable(RoutingError):
    """An idempotency record couldn't be read, or its write couldn't be confirmed.

    An attempt whose claim fails with this error must not be handed over.
    """


class RecordMalformed(RoutingError):
    """An object of the idempotency kind can't be decoded."""


class UnknownReplica(RoutingError):
    """The directory has no replica of the given side process."""
