"""Shares of teams in scarce engines, over all entry processes."""

from dataclasses import dataclass
from datetime import timedelta
from heapq import nlargest

from .fair_shares import (
    EXCESS_WAIT_RATIO,
    ROOM_WAIT_RATIO,
    ServiceShares,
    compute_shares,
    is_scarce,
    weigh_teams,
)
from .work_rates import TeamWork, WorkRate
from .work_reports import MAX_TEAMS

# The shares are computed from all peers' messages, but not for each request.
COMPUTATION_INTERVAL = timedelta(milliseconds=100)
# Rates below this are forgotten, in tokens a second.
MIN_RATE = 1.0
# No process has as many tokens a second; sums stay finite.
MAX_RATE = 1e9


@dataclass(frozen=True, slots=True)
class WaitRatios:
    """Predicted waits as fractions of the longest one that is acceptable.

    Attributes
    ----------
    chosen : float
        Wait at the replica that was chosen for the request.
    least : float
        Shortest wait at any replica.
    """

    chosen: float
    least: float


@dataclass(frozen=True, slots=True)
class _PeerWork:
    works: tuple[TeamWork, ...]
    expires: timedelta


@dataclass(frozen=True, slots=True)
class _ComputedShares:
    shares: ServiceShares
    expires: timedelta


class TeamShares:
    """Hold each team to its fair share of a service while the service is full.

    Each process estimates the work that teams offer and that it admits. A process that
    refuses work for lack of capacity tells its peers, which then tell theirs; otherwise
    nothing is sent. A lost message or a silent peer costs accuracy only: the estimate
    of a part of the processes shows the same proportions, as callers come to all.
    """

    def __init__(self):
        self._rates = {}
        self._credits = {}
        self._peers = {}
        self._computed = {}

    def admit(self, service, team, teams, tokens, waits, now):
        """Decide whether a request is admitted, and record it.

        Parameters
        ----------
        service : str
            Name of the service.
        team : str
            Name of the caller's team.
        teams : sequence of Team
            All teams.
        tokens : int
            Length of the prompt.
        waits : WaitRatios
            Predicted waits.
        now : timedelta
            Monotonic time.

        Returns
        -------
        bool
            Whether it is admitted.
        """
        shares = self._find_shares(service, teams, now)
        part = shares.admitted_parts.get(team)
        if part is None:
            self._credits.pop((service, team), None)
            limit = 1.0
        else:
            has_credit = self._take_credit((service, team), part, tokens)
            limit = EXCESS_WAIT_RATIO if has_credit else 0.0
            if waits.least <= ROOM_WAIT_RATIO:
                limit = 1.0
        is_admitted = waits.chosen <= limit
        self._record(service, team, tokens, is_admitted, now)
        return is_admitted

    def is_limited(self, service, team, teams, now):
        """Return whether a team is held to its share of a service, as in ``admit``."""
        return team in self._find_shares(service, teams, now).admitted_parts

    def record_peer(self, peer, works, expires):
        """Record the TeamWork that a peer (IP address) has sent, valid until a time.

        Work with rates that can't be is left out.
        """
        works = tuple(each for each in works if _is_possible(each))
        self._peers[peer] = _PeerWork(works, expires)

    def list_work(self, now):
        """Return the TeamWork to send to peers; empty unless a service is scarce."""
        self._forget_idle(now)
        services = {service for service, _ in self._rates}
        scarce = {
            service for service in services if is_scarce(self._sum_work(service, now))
        }
        works = [
            TeamWork(service, team, rate.offered, rate.admitted)
            for (service, team), rate in self._rates.items()
            if service in scarce
        ]
        return tuple(nlargest(MAX_TEAMS, works, key=lambda each: each.offered))

    def list_limited(self, teams, now):
        """Return the services and teams, as ``service/team``, that are held back."""
        services = {service for service, _ in self._rates}
        return tuple(
            sorted(
                f"{service}/{team}"
                for service in services
                for team in self._find_shares(service, teams, now).admitted_parts
            )
        )

    def _find_shares(self, service, teams, now):
        computed = self._computed.get(service)
        if computed is None or now >= computed.expires:
            shares = compute_shares(self._sum_work(service, now), weigh_teams(teams))
            computed = _ComputedShares(shares, now + COMPUTATION_INTERVAL)
            self._computed[service] = computed
        return computed.shares

    def _take_credit(self, key, part, tokens):
        """Return whether a request is among the part of its team's that is admitted.

        Each request adds that part of its tokens to the team's credit.
        """
        credit = self._credits.get(key, 0.0) + part * tokens
        is_admitted = credit >= tokens
        # The credit of a request that then has to wait too long is not kept for later.
        self._credits[key] = credit - tokens if is_admitted else credit
        return is_admitted

    def _record(self, service, team, tokens, is_admitted, now):
        rate = self._rates.get((service, team))
        if rate is None:
            rate = self._rates[service, team] = WorkRate(now)
        rate.add(tokens, is_admitted, now)

    def _sum_work(self, service, now):
        """Return offered and admitted work of all processes by team, as pairs."""
        works = {}
        for (name, team), rate in self._rates.items():
            if name == service:
                rate.advance(now)
                works[team] = (rate.offered, rate.admitted)
        for peer, received in list(self._peers.items()):
            if now >= received.expires:
                del self._peers[peer]
                continue
            for work in received.works:
                if work.service == service:
                    offered, admitted = works.get(work.team, (0.0, 0.0))
                    works[work.team] = (
                        offered + work.offered,
                        admitted + work.admitted,
                    )
        return works

    def _forget_idle(self, now):
        for key, rate in list(self._rates.items()):
            rate.advance(now)
            if rate.offered < MIN_RATE:
                del self._rates[key]
                self._credits.pop(key, None)


def _is_possible(work):
    """Return whether a TeamWork has rates that a process may have; NaN is none."""
    return 0 < work.offered <= MAX_RATE and 0 <= work.admitted <= work.offered
