"""Errors of the wire library."""

from balsamspoke_types.exceptions import BalsamspokeError


class WireError(BalsamspokeError):
    """Received bytes aren't a batch of messages."""
