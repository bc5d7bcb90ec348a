"""Token buckets, and the division of team budgets over the entry processes."""

from .budgets import ShareStatus, TeamBudgets
from .exceptions import BudgetRefused, GroupRecordError
from .reservations import Reservation
from .settings import BudgetSettings, Limits

__all__ = [
    "BudgetRefused",
    "BudgetSettings",
    "GroupRecordError",
    "Limits",
    "Reservation",
    "ShareStatus",
    "TeamBudgets",
]
