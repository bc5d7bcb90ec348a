"""Messages about team budgets, between entry processes."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class ReserveTokens:
    """Ask a holder of a team's budget for tokens.

    Attributes
    ----------
    reservation : int
        The asker's number for this, never used again in its run.
    team : str
        Whose budget.
    amount : int
        Tokens wanted; fewer may be granted.
    """

    reservation: int
    team: str
    amount: int


@dataclass(frozen=True, slots=True)
class TokensGranted:
    """Answer to ReserveTokens.

    Attributes
    ----------
    reservation : int
        The asker's number.
    amount : int
        Tokens granted, from zero to the amount wanted. They may only be used
        within the grant's lifetime, counted from when the asker sent.
    missing_after : timedelta
        When the holder's bucket will have the rest, if nobody else takes it.
    capacity : int
        The most tokens that the holder's bucket can have.
    """

    reservation: int
    amount: int
    missing_after: timedelta = timedelta(0)
    capacity: int = 0


@dataclass(frozen=True, slots=True)
class ReturnTokens:
    """Hand back the unused tokens of a reservation; ends it."""

    reservation: int
    unused: int
