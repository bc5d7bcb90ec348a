"""Errors of team budgets."""

from balsamspoke_types.exceptions import BalsamspokeError


class BudgetRefused(BalsamspokeError):
    """No tokens were reserved; the request must not run.

    Attributes
    ----------
    cause : Cause
        Why, as callers see it.
    retry_after : timedelta or None
        When to come back; None if coming back doesn't help.
    """

    def __init__(self, cause, retry_after=None):
        super().__init__(f"budget refused: {cause.value}")
        self.cause = cause
        self.retry_after = retry_after


class GroupRecordError(BalsamspokeError):
    """A stored object isn't the record of a budget group."""
