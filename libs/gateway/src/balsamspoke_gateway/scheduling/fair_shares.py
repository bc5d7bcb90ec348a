"""Weighted max-min fair shares of teams in the capacity of a service."""

from dataclasses import dataclass, field
from itertools import accumulate

# Part of the offered work that is refused from which capacity counts as scarce. What
# one replica refuses for a moment is less.
SCARCITY_RATIO = 0.02
# Teams beyond their shares are admitted this multiple of it, so that the shares grow
# with the capacity, which is known only from what was admitted.
GROWTH_RATIO = 1.1
# A team beyond its share waits for no more than this fraction of the latency objective.
# The rest is left for what the other teams send.
EXCESS_WAIT_RATIO = 0.5
# Up to this fraction a replica has room, and takes what is beyond a team's share too.
ROOM_WAIT_RATIO = 0.1


@dataclass(frozen=True, slots=True)
class ServiceShares:
    """Shares of the teams in the work that a service admits.

    Attributes
    ----------
    admitted_parts : dict
        Part of its requests that a team may have admitted, by team; only for teams that
        ask for more than their share. It is empty unless capacity is scarce and some
        teams are within their shares.
    """

    admitted_parts: dict[str, float] = field(default_factory=dict)


def is_scarce(works):
    """Return whether work is refused for lack of capacity.

    Parameters
    ----------
    works : dict
        Offered and admitted work (a pair of floats) by team.
    """
    offered = sum(each for each, _ in works.values())
    admitted = sum(each for _, each in works.values())
    return offered - admitted > SCARCITY_RATIO * offered


def compute_shares(works, weights):
    """Return the ServiceShares for the work of all processes.

    This handles a flood of one team: the work that is refused is that of the teams
    which ask for more than their share, so that the others are served as before.

    Parameters
    ----------
    works : dict
        Offered and admitted work (a pair of floats) by team.
    weights : dict
        Weights of the teams; a team that is missing has weight 1.
    """
    if not is_scarce(works):
        return ServiceShares()
    capacity = sum(admitted for _, admitted in works.values())
    level = _find_level(works, weights, capacity)
    parts = {}
    for team, (offered, _) in works.items():
        allowed = GROWTH_RATIO * level * weights.get(team, 1.0)
        if offered > allowed:
            parts[team] = allowed / offered
    if len(parts) == len(works):
        # There is no team to leave room for.
        return ServiceShares()
    return ServiceShares(parts)


def _find_level(works, weights, capacity):
    """Return the share per weight at which the shares use up the capacity.

    No team's share exceeds what it has offered.
    """
    demands = sorted(
        (offered / weights.get(team, 1.0), weights.get(team, 1.0))
        for team, (offered, _) in works.items()
    )
    # Summed from the end: by subtraction, a small weight beside large ones would be
    # lost to rounding.
    weight_sums = list(accumulate(weight for _, weight in reversed(demands)))
    remaining = capacity
    level = 0.0
    for (demand, weight), weight_sum in zip(demands, reversed(weight_sums)):
        level = remaining / weight_sum
        if demand >= level:
            break
        remaining -= demand * weight
    return level


def weigh_teams(teams):
    """Return the weights of Teams by name: their rates if all have one, otherwise 1.

    The rate is the operator's statement of a team's size.
    """
    if all(team.rate > 0 for team in teams):
        return {team.name: team.rate for team in teams}
    return {team.name: 1.0 for team in teams}
