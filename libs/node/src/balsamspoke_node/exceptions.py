"""Errors of the entry and side process cores."""

from balsamspoke_types.exceptions import BalsamspokeError
from balsamspoke_types.outcomes import Ran, Refusal


class RequestRefused(BalsamspokeError):
    """A caller's request was refused before any part of it was run.

    Attributes
    ----------
    refusal : Refusal
        Cause and message for the caller, with the outcome ``not-run``.
    """

    def __init__(self, cause, message, retry_after=None):
        super().__init__(message)
        self.refusal = Refusal(cause, Ran.NOT_RUN, message, retry_after)
