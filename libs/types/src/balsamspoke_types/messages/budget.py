"""Messages between entry processes that share the budgets of teams."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class ReserveTokens:
    """Request for tokens from a process that holds a share of a team's budget.

    Attributes
    ----------
    reservation : int
        Number of the reservation, unique within one run of the sender.
    team : str
        Name of the team.
    amount : int
        Number of tokens requested; fewer may be granted.
    """

    reservation: int
    team: str
    amount: int


@dataclass(frozen=True, slots=True)
class TokensGranted:
    """Answer to ReserveTokens with the granted amount.

    Attributes
    ----------
    reservation : int
        Number of the reservation, from the request.
    amount : int
        Number of tokens granted, from zero to the requested amount. The grant
        expires at the end of its lifetime, counted from the sending of the request.
    missing_after : timedelta
        Time until the holder's token bucket refills by the missing tokens, if no
        other request takes them.
    capacity : int
        Capacity of the holder's token bucket in tokens, given when the bucket had too
        few.
    """

    reservation: int
    amount: int
    missing_after: timedelta = timedelta(0)
    capacity: int = 0


@dataclass(frozen=True, slots=True)
class ReturnTokens:
    """End a reservation and return its unused tokens.

    Attributes
    ----------
    reservation : int
        Number of the reservation.
    unused : int
        Number of tokens returned.
    """

    reservation: int
    unused: int
