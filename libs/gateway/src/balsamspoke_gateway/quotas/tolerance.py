"""How far all processes together may exceed a team's limit."""

from dataclasses import dataclass
from datetime import timedelta

# Fraction of the tolerance that partitioned groups of processes may use; the rest
# covers what is admitted before the partition is detected.
USABLE_TOLERANCE_RATIO = 0.8
# Message intervals for which each group may over-admit the whole rate before its
# processes hear of one another. Partitioned groups leave that part of the tolerance.
RESERVED_INTERVALS = 2


@dataclass(frozen=True, slots=True)
class QuotaTolerance:
    """How far the sum over all processes may exceed a team's limit.

    Attributes
    ----------
    window : timedelta
        Length of the sliding window in which the excess is measured.
    part : float
        Tolerated excess as a fraction of what the limit allows in a window.
    tokens : float
        Tolerated excess in tokens a window, in addition to ``part``.
    """

    window: timedelta = timedelta(seconds=8)
    part: float = 0.0
    tokens: float = 0.0

    def compute_usable_rate(self, team, message_interval):
        """Return the tokens a second by which partitioned groups may exceed a limit.

        Parameters
        ----------
        team : Team
            Team with the limit.
        message_interval : timedelta
            Time between the messages of a process to its peers.
        """
        seconds = self.window.total_seconds()
        allowed = team.rate * seconds + team.burst
        excess = allowed * self.part + self.tokens
        reserve = RESERVED_INTERVALS * message_interval.total_seconds() * team.rate
        usable = min(USABLE_TOLERANCE_RATIO * excess, excess - reserve)
        return max(0.0, usable) / seconds
