"""Rates of offered and admitted work by team, over a sliding time."""

import math
from dataclasses import dataclass
from datetime import timedelta

# Time over which work is averaged: a few messages between processes, and short
# compared to a flood.
AVERAGING_TIME = timedelta(seconds=2)


@dataclass(frozen=True, slots=True)
class TeamWork:
    """Work of a team at a service, as one process sees it; part of messages.

    Attributes
    ----------
    service : str
        Name of the service.
    team : str
        Name of the team.
    offered : float
        Prompt tokens a second that the team has asked for.
    admitted : float
        Prompt tokens a second of those that were not refused for lack of capacity.
    """

    service: str
    team: str
    offered: float
    admitted: float


@dataclass(slots=True)
class WorkRate:
    """Exponentially weighted rate of offered and admitted tokens a second."""

    updated: timedelta
    offered: float = 0.0
    admitted: float = 0.0

    def add(self, tokens, is_admitted, now):
        """Add a request at a monotonic time."""
        self.advance(now)
        rate = tokens / AVERAGING_TIME.total_seconds()
        self.offered += rate
        if is_admitted:
            self.admitted += rate

    def advance(self, now):
        """Let the rates decay up to a monotonic time."""
        decay = math.exp(-max(0.0, (now - self.updated) / AVERAGING_TIME))
        self.offered *= decay
        self.admitted *= decay
        self.updated = now
