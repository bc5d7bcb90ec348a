"""Compare designs of team budgets by their wrongful refusals.

Each design processes the same requests as an ideal single bucket. A refusal is
wrongful if the ideal bucket admits the request. Designs (a), (b) and (b') are models
without latency; (c) runs the shipped TeamBudgets over fakes in virtual time.
"""

import heapq
import itertools
import random
import statistics
import sys
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path

from balsamspoke_limits import BudgetSettings, Limits
from balsamspoke_limits.bucket import MICRO, Bucket

sys.path.insert(0, str(Path(__file__).parent.parent / "libs" / "limits"))

from tests.fleet import Fleet

SEEDS = (1, 2, 3, 4, 5)
ENTRIES = 3
WARM_UP_SECONDS = 60.0
LEASE_SECONDS = 10.0
NEW_VM_DELAY_SECONDS = 5.0
# Rate in tokens a second, burst in tokens, and mean demand as a ratio of the rate.
TEAMS = {
    "large-1": (4000, 40_000, 0.7),
    "large-2": (3000, 30_000, 0.8),
    "medium": (1000, 15_000, 0.6),
    "small": (300, 8_000, 0.5),
    "greedy": (500, 8_000, 5.0),
}
# Relative share of the requests that each entry process receives.
WEIGHTS = {"even": (1, 1, 1), "skewed": (8, 1, 1)}
# Seconds of the trace after the warm-up, by the fault that starts then.
FAULTS = {"none": 120, "loss": 60, "outage": 600, "cut": 300}


@dataclass(frozen=True, slots=True)
class Request:
    """A request of the trace.

    Attributes
    ----------
    at : float
        Arrival in seconds since the start of the trace.
    entry : int
        Entry process that receives the request, from 0 to ENTRIES - 1.
    team : str
        Name of the team.
    amount : int
        Tokens reserved.
    used : int
        Tokens used when the request ends.
    duration : float
        Seconds from arrival to end.
    """

    at: float
    entry: int
    team: str
    amount: int
    used: int
    duration: float


def draw_requests(seed, weights, fault):
    """Return Poisson arrivals that use about half of the tokens they reserve."""
    random_source = random.Random(seed)
    end = WARM_UP_SECONDS + FAULTS[fault]
    requests = []
    for team, (rate, _, load) in TEAMS.items():
        mean_used = 350
        at = 0.0
        while True:
            at += random_source.expovariate(rate * load / mean_used)
            if at >= end:
                break
            prompt = random_source.randrange(50, 350)
            output = random_source.randrange(20, 280)
            entry = random_source.choices(range(ENTRIES), weights)[0]
            if (
                fault == "loss"
                and WARM_UP_SECONDS <= at < WARM_UP_SECONDS + NEW_VM_DELAY_SECONDS
            ):
                entry = random_source.randrange(1, ENTRIES)
            request = Request(
                at, entry, team, prompt + 512, prompt + output, output * 0.04
            )
            requests.append(request)
    return sorted(requests, key=lambda request: request.at)


class BudgetModel:
    """Model of a design without latency: each team's buckets on some entries.

    Parameters
    ----------
    shares : list of float
        Share of each team's rate and burst that each entry process holds.
    fault : str
        Key of FAULTS.
    """

    def __init__(self, shares, fault):
        self.fault = fault
        self.buckets = {
            (team, entry): Bucket(rate * share, *[int(burst * share * MICRO)] * 2, 0)
            for team, (rate, burst, _) in TEAMS.items()
            for entry, share in enumerate(shares)
        }

    def choose(self, request, is_faulty):
        """Return the entries whose buckets the request may use, in order of use.

        Parameters
        ----------
        request : Request
            Request to admit.
        is_faulty : bool
            Whether the fault has begun.
        """
        raise NotImplementedError

    def run(self, requests):
        """Process the requests; return a list of whether each was admitted."""
        self._sequence = itertools.count()
        pending_ends = []
        admitted = []
        for request in requests:
            now = int(request.at * MICRO)
            while pending_ends and pending_ends[0][0] <= now:
                self._settle(*heapq.heappop(pending_ends))
            is_faulty = self.fault != "none" and request.at >= WARM_UP_SECONDS
            holds = self._reserve(request, self.choose(request, is_faulty), now)
            admitted.append(bool(holds))
            if holds:
                end = now + int(request.duration * MICRO)
                heapq.heappush(
                    pending_ends, (end, next(self._sequence), holds, request.used)
                )
        return admitted

    def _reserve(self, request, entries, now):
        remaining = request.amount * MICRO
        holds = []
        for entry in entries:
            bucket = self.buckets[request.team, entry]
            hold = bucket.take(remaining, now) if remaining else None
            if hold is not None:
                holds.append((bucket, hold))
                remaining -= hold.amount
        if not remaining:
            return holds
        for bucket, hold in holds:
            bucket.give_back(hold, hold.amount, now)
        return []

    @staticmethod
    def _settle(now, _, holds, used):
        remaining = used * MICRO
        for bucket, hold in holds:
            consumed = min(remaining, hold.amount)
            remaining -= consumed
            bucket.give_back(hold, hold.amount - consumed, now)


class IdealBudgets(BudgetModel):
    """Ideal design: a single bucket for each team, unaffected by faults."""

    def __init__(self, fault):
        super().__init__([1], fault)

    def choose(self, request, is_faulty):
        """Return the only entry."""
        return [0]


class OwnerBudgets(BudgetModel):
    """Design (a): one entry process, here always 0, owns each team by a lease."""

    def __init__(self, fault):
        super().__init__([1], fault)
        self._has_moved = False

    def choose(self, request, is_faulty):
        """Return the owner if the request can reach it and its lease is valid."""
        seconds_since_fault = request.at - WARM_UP_SECONDS
        if is_faulty and self.fault == "outage" and seconds_since_fault > LEASE_SECONDS:
            return []
        if is_faulty and self.fault == "cut" and request.entry != 0:
            return []
        if is_faulty and self.fault == "loss":
            if seconds_since_fault < LEASE_SECONDS:
                return []
            self._empty_buckets_once(request)
        return [0]

    def _empty_buckets_once(self, request):
        """Empty all buckets at the first request that the new owner receives."""
        if not self._has_moved:
            self._has_moved = True
            for bucket in self.buckets.values():
                bucket.refill(int(request.at * MICRO))
                bucket.level = 0


class StaticShares(BudgetModel):
    """Design (b): equal shares; the share of a lost entry is lost with it."""

    is_lending = False

    def __init__(self, fault):
        super().__init__([1 / ENTRIES] * ENTRIES, fault)

    def choose(self, request, is_faulty):
        """Return the request's own entry, then, with lending, the reachable others."""
        reachable = {request.entry}
        if self.is_lending:
            reachable = set(range(ENTRIES))
        if is_faulty and self.fault == "cut" and request.entry == 0:
            reachable = {0}
        if is_faulty and self.fault == "cut" and request.entry != 0:
            reachable -= {0}
        if is_faulty and self.fault == "loss":
            reachable -= {0}
        return sorted(reachable, key=lambda entry: entry != request.entry)


class LendingShares(StaticShares):
    """Design (b'): equal shares as in (b), and entries lend tokens to each other."""

    is_lending = True


class ShippedBudgets:
    """Design (c): the shipped TeamBudgets with the default settings.

    Parameters
    ----------
    fault : str
        Key of FAULTS.
    seed : int
        Seed of the fleet.
    """

    def __init__(self, fault, seed):
        limits = {team: Limits(rate, burst) for team, (rate, burst, _) in TEAMS.items()}
        settings = BudgetSettings()
        self.fault = fault
        self.fleet = Fleet(ENTRIES, seed, limits, settings)
        # Let the shares stabilize and the buckets fill before the trace starts.
        self.fleet.time.advance(timedelta(seconds=120))
        self.vms = sorted(self.fleet.entries)
        self.admitted = []

    def run(self, requests):
        """Process the requests; return a list of whether each was admitted."""
        fleet = self.fleet
        start = fleet.time.elapsed
        self.admitted = [False] * len(requests)
        fleet.time.schedule(
            start + timedelta(seconds=WARM_UP_SECONDS), self._inject_fault
        )
        for index, request in enumerate(requests):
            due = start + timedelta(seconds=request.at)
            fleet.time.schedule(due, self._send, index, request)
        fleet.time.advance(timedelta(seconds=WARM_UP_SECONDS + FAULTS[self.fault] + 30))
        return self.admitted

    def _inject_fault(self):
        if self.fault == "loss":
            self._replace_vm(self.vms[0])
        elif self.fault == "outage":
            self.fleet.objects.available = False
        elif self.fault == "cut":
            self.fleet.network.cut_between(self.vms[:1], self.vms[1:])

    def _replace_vm(self, name):
        fleet = self.fleet
        fleet.entries.pop(name).clock.kill()
        fleet.show_vms()
        self.vms[0] = "vm-new"
        delay = fleet.time.elapsed + timedelta(seconds=NEW_VM_DELAY_SECONDS)
        fleet.time.schedule(delay, fleet.start_entry, "vm-new")
        fleet.time.schedule(delay, fleet.show_vms)

    def _send(self, index, request):
        entry = self.fleet.entries.get(self.vms[request.entry])
        if entry is None:
            return
        result = entry.budgets.reserve(request.team, request.amount)
        result.addCallbacks(
            self._admit, lambda failure: None, (index, request, entry.clock)
        )

    def _admit(self, reservation, index, request, clock):
        self.admitted[index] = True
        duration = timedelta(seconds=request.duration)
        clock.call_later(duration, reservation.settle, request.used)


def compute_wrongful_percentages(requests, ideal, admitted):
    """Return the percentages of wrongful refusals after the warm-up.

    Returns
    -------
    list of float
        Of the teams inside their rate, and of the team ``greedy``.
    """
    counts = {True: [0, 0], False: [0, 0]}
    for request, ideal_admitted, was_admitted in zip(requests, ideal, admitted):
        if request.at >= WARM_UP_SECONDS and ideal_admitted:
            tally = counts[request.team == "greedy"]
            tally[0] += 1
            tally[1] += not was_admitted
    return [100 * counts[key][1] / max(1, counts[key][0]) for key in (False, True)]


def compare_designs(weights, fault):
    """Return the percentages of wrongful refusals by design, a pair for each seed."""
    percentages = {"a": [], "b": [], "b'": [], "c": []}
    for seed in SEEDS:
        requests = draw_requests(seed, WEIGHTS[weights], fault)
        ideal = IdealBudgets(fault).run(requests)
        designs = {
            "a": OwnerBudgets(fault),
            "b": StaticShares(fault),
            "b'": LendingShares(fault),
            "c": ShippedBudgets(fault, seed),
        }
        for name, design in designs.items():
            percentages[name].append(
                compute_wrongful_percentages(requests, ideal, design.run(requests))
            )
    return percentages


def main():
    """Print medians and ranges over the seeds, in percent, by fault and weights."""
    print("wrongful refusals in percent, of teams inside their rate (median, range)")
    print("and of the team that sends five times its rate (median)")
    for fault in sys.argv[1:] or FAULTS:
        for weights in WEIGHTS:
            for name, pairs in compare_designs(weights, fault).items():
                inside = [pair[0] for pair in pairs]
                greedy = statistics.median(pair[1] for pair in pairs)
                print(
                    f"{fault:7} {weights:7} {name:3} {statistics.median(inside):7.3f} "
                    f"({min(inside):.3f} to {max(inside):.3f})  greedy {greedy:7.3f}",
                    flush=True,
                )


if __name__ == "__main__":
    main()
