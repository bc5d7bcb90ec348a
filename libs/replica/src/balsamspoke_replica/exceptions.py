"""Exceptions raised by this library."""

from balsamspoke_types.exceptions import BalsamspokeError


class ReplicaSettingsError(BalsamspokeError):
    """A replica setting is invalid."""


class ReplicaStateError(BalsamspokeError):
    """A method was called in a state that doesn't allow it."""
