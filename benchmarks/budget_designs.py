"""Compare designs of team budgets by their wrongful refusals.

Every design is given the same requests as an ideal single bucket. A refusal is
wrongful if the ideal admitted the request. Designs (a), (b) and (b') are models
without latency; (c) runs the real TeamBudgets over fakes.
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
WARM_UP = 60.0
LEASE = 10.0
NEW_VM_DELAY = 5.0
# Tokens a second, burst, and mean use as a part of the rate.
TEAMS = {
    "large-1": (4000, 40_000, 0.7),
    "large-2": (3000, 30_000, 0.8),
    "medium": (1000, 15_000, 0.6),
    "small": (300, 8_000, 0.5),
    "greedy": (500, 8_000, 5.0),
}
WEIGHTS = {"even": (1, 1, 1), "skewed": (8, 1, 1)}
# Fault, and for how many seconds it is watched.
FAULTS = {"none": 120, "loss": 60, "outage": 600, "cut": 300}


@dataclass(frozen=True, slots=True)
class Request:
    """One request of the trace; its entry is 0 to ENTRIES - 1."""

    at: float
    entry: int
    team: str
    amount: int
    used: int
    duration: float


def draw_requests(seed, weights, fault):
    """Return the trace: Poisson arrivals, about half of what is reserved used."""
    draw = random.Random(seed)
    end = WARM_UP + FAULTS[fault]
    found = []
    for team, (rate, _, part) in TEAMS.items():
        mean_used = 350
        at = 0.0
        while True:
            at += draw.expovariate(rate * part / mean_used)
            if at >= end:
                break
            prompt = draw.randrange(50, 350)
            output = draw.randrange(20, 280)
            entry = draw.choices(range(ENTRIES), weights)[0]
            if fault == "loss" and WARM_UP <= at < WARM_UP + NEW_VM_DELAY:
                entry = draw.randrange(1, ENTRIES)
            request = Request(
                at, entry, team, prompt + 512, prompt + output, output * 0.04
            )
            found.append(request)
    return sorted(found, key=lambda request: request.at)


class Model:
    """Buckets of a team on one or more entries, without latency."""

    def __init__(self, parts, fault):
        self.fault = fault
        self.buckets = {
            (team, entry): Bucket(rate * part, *[int(burst * part * MICRO)] * 2, 0)
            for team, (rate, burst, _) in TEAMS.items()
            for entry, part in enumerate(parts)
        }

    def choose(self, request, is_faulty):
        """Return the entries whose buckets may be used, in order."""
        raise NotImplementedError

    def run(self, requests):
        """Return whether each request was admitted."""
        self._order = itertools.count()
        ends = []
        admitted = []
        for request in requests:
            now = int(request.at * MICRO)
            while ends and ends[0][0] <= now:
                self._end(*heapq.heappop(ends))
            is_faulty = self.fault != "none" and request.at >= WARM_UP
            pieces = self._take(request, self.choose(request, is_faulty), now)
            admitted.append(bool(pieces))
            if pieces:
                end = now + int(request.duration * MICRO)
                heapq.heappush(ends, (end, next(self._order), pieces, request.used))
        return admitted

    def _take(self, request, entries, now):
        missing = request.amount * MICRO
        pieces = []
        for entry in entries:
            bucket = self.buckets[request.team, entry]
            hold = bucket.take(missing, now) if missing else None
            if hold is not None:
                pieces.append((bucket, hold))
                missing -= hold.amount
        if not missing:
            return pieces
        for bucket, hold in pieces:
            bucket.give_back(hold, hold.amount, now)
        return []

    @staticmethod
    def _end(now, _, pieces, used):
        left = used * MICRO
        for bucket, hold in pieces:
            part = min(left, hold.amount)
            left -= part
            bucket.give_back(hold, hold.amount - part, now)


class Ideal(Model):
    """One bucket for each team that never fails."""

    def __init__(self, fault):
        super().__init__([1], fault)

    def choose(self, request, is_faulty):
        """Return the only one."""
        return [0]


class Owner(Model):
    """(a): one owner of each team with a lease; here always entry 0."""

    def __init__(self, fault):
        super().__init__([1], fault)
        self._is_moved = False

    def choose(self, request, is_faulty):
        """Return the owner, if it can be reached and has its lease."""
        since = request.at - WARM_UP
        if is_faulty and self.fault == "outage" and since > LEASE:
            return []
        if is_faulty and self.fault == "cut" and request.entry != 0:
            return []
        if is_faulty and self.fault == "loss":
            if since < LEASE:
                return []
            self._start_empty(request)
        return [0]

    def _start_empty(self, request):
        if not self._is_moved:
            self._is_moved = True
            for bucket in self.buckets.values():
                bucket.refill(int(request.at * MICRO))
                bucket.level = 0


class Static(Model):
    """(b): an equal share on each entry; a lost entry's share is lost."""

    lends = False

    def __init__(self, fault):
        super().__init__([1 / ENTRIES] * ENTRIES, fault)

    def choose(self, request, is_faulty):
        """Return the own share, and with loans those that can be reached."""
        reached = {request.entry}
        if self.lends:
            reached = set(range(ENTRIES))
        if is_faulty and self.fault == "cut" and request.entry == 0:
            reached = {0}
        if is_faulty and self.fault == "cut" and request.entry != 0:
            reached -= {0}
        if is_faulty and self.fault == "loss":
            reached -= {0}
        return sorted(reached, key=lambda entry: entry != request.entry)


class Lending(Static):
    """(b'): as (b), with loans."""

    lends = True


class Chosen:
    """(c): the real TeamBudgets with the default settings."""

    def __init__(self, fault, seed):
        limits = {team: Limits(rate, burst) for team, (rate, burst, _) in TEAMS.items()}
        settings = BudgetSettings()
        self.fault = fault
        self.fleet = Fleet(ENTRIES, seed, limits, settings)
        # Shares settle and buckets fill before the trace starts.
        self.fleet.time.advance(timedelta(seconds=120))
        self.names = sorted(self.fleet.entries)
        self.admitted = []

    def run(self, requests):
        """Return whether each request was admitted."""
        fleet = self.fleet
        start = fleet.time.elapsed
        self.admitted = [False] * len(requests)
        fleet.time.schedule(start + timedelta(seconds=WARM_UP), self._begin)
        for index, request in enumerate(requests):
            due = start + timedelta(seconds=request.at)
            fleet.time.schedule(due, self._call, index, request)
        fleet.time.advance(timedelta(seconds=WARM_UP + FAULTS[self.fault] + 30))
        return self.admitted

    def _begin(self):
        if self.fault == "loss":
            self._lose(self.names[0])
        elif self.fault == "outage":
            self.fleet.objects.available = False
        elif self.fault == "cut":
            self.fleet.network.cut_between(self.names[:1], self.names[1:])

    def _lose(self, name):
        fleet = self.fleet
        fleet.entries.pop(name).clock.kill()
        fleet.show_vms()
        self.names[0] = "vm-new"
        delay = fleet.time.elapsed + timedelta(seconds=NEW_VM_DELAY)
        fleet.time.schedule(delay, fleet.start_entry, "vm-new")
        fleet.time.schedule(delay, fleet.show_vms)

    def _call(self, index, request):
        entry = self.fleet.entries.get(self.names[request.entry])
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


def count_wrongful(requests, ideal, admitted):
    """Return wrongful refusals in percent: teams inside their rate, and greedy."""
    counts = {True: [0, 0], False: [0, 0]}
    for request, was_right, was_admitted in zip(requests, ideal, admitted):
        if request.at >= WARM_UP and was_right:
            tally = counts[request.team == "greedy"]
            tally[0] += 1
            tally[1] += not was_admitted
    return [100 * counts[key][1] / max(1, counts[key][0]) for key in (False, True)]


def compare(weights, fault):
    """Return wrongful refusals by design: a pair for each seed."""
    found = {"a": [], "b": [], "b'": [], "c": []}
    for seed in SEEDS:
        requests = draw_requests(seed, WEIGHTS[weights], fault)
        ideal = Ideal(fault).run(requests)
        designs = {
            "a": Owner(fault),
            "b": Static(fault),
            "b'": Lending(fault),
            "c": Chosen(fault, seed),
        }
        for name, design in designs.items():
            found[name].append(count_wrongful(requests, ideal, design.run(requests)))
    return found


def main():
    """Print a table: medians and ranges over the seeds, in percent."""
    print("wrongful refusals in percent, of teams inside their rate (median, range)")
    print("and of the team that sends five times its rate (median)")
    for fault in sys.argv[1:] or FAULTS:
        for weights in WEIGHTS:
            for name, pairs in compare(weights, fault).items():
                inside = [pair[0] for pair in pairs]
                greedy = statistics.median(pair[1] for pair in pairs)
                print(
                    f"{fault:7} {weights:7} {name:3} {statistics.median(inside):7.3f} "
                    f"({min(inside):.3f} to {max(inside):.3f})  greedy {greedy:7.3f}",
                    flush=True,
                )


if __name__ == "__main__":
    main()
