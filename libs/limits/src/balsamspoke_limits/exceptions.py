"""Errors of team budgets."""

from balsamspoke_types.exceptions import BalsamspokeError


class BudgetRefused(BalsamspokeError):
    """No tokens were reserved, so the request must not run.

    Attributes
    ----------
    cause : Cause
        Reason of the refusal, as reported to the caller.
    retry_after : timedelta or None
        Delay after which a retry may succeed; None if a retry at this process can't.
    """

    def __init__(self, cause, retry_after=None):
        super().__init__(f"budget refused: {cause.value}")
        self.cause = cause
        self.retry_after = retry_after


class GroupRecordError(BalsamspokeError):
    """A stored object isn't a valid record of a budget group."""
