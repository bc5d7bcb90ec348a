"""Errors of the wire library."""

from balsamspoke_types.exceptions import BalsamspokeError


class WireError(BalsamspokeError):
    """Received bytes could not be decoded as a batch of messages."""
