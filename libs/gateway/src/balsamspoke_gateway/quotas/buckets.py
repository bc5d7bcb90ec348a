"""Token bucket of a team's limit, and what is told of it."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class TeamShare:
    """Share of a team's limit at one entry process.

    Attributes
    ----------
    team : str
        Name of the team.
    tokens_left : float
        Tokens that may still be admitted here; negative after a request that cost more
        than was left.
    rate : float
        Tokens a second by which ``tokens_left`` is refilled.
    admitted : float
        Tokens admitted here since the start of the process.
    """

    team: str
    tokens_left: float
    rate: float
    admitted: float


@dataclass(slots=True)
class TokenBucket:
    """Copy of the fleet's bucket of one team at this process.

    Attributes
    ----------
    level : float
        Tokens that may be admitted here; negative after a request that cost more.
    rate : float
        Tokens a second by which it is refilled.
    burst : float
        Largest level.
    updated : timedelta
        Monotonic time of the last refill.
    """

    level: float
    rate: float
    burst: float
    updated: timedelta

    def refill(self, now):
        """Refill the bucket up to a monotonic time."""
        gained = self.rate * (now - self.updated).total_seconds()
        self.level = min(self.burst, self.level + gained)
        self.updated = now
