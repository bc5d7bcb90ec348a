"""Errors of the node cores."""

from balsamspoke_types.exceptions import BalsamspokeError
from balsamspoke_types.outcomes import Ran, Refusal


class RequestRefused(BalsamspokeError):
    """A caller's request is refused before anything was run.

    Attributes
    ----------
    refusal : Refusal
        What the caller is told.
    """

    def __init__(self, cause, message, retry_after=None):
        super().__init__(message)
        self.refusal = Refusal(cause, Ran.NOT_RUN, message, retry_after)
