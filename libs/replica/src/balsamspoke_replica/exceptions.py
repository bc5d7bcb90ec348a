"""Errors that this library raises."""

from balsamspoke_types.exceptions import BalsamspokeError


class ReplicaSettingsError(BalsamspokeError):
    """A setting of a replica can't be worked with."""


class ReplicaStateError(BalsamspokeError):
    """A method was called in a state that doesn't allow it."""
