"""Measure the processor time of one budget decision, today and at the target size."""

import random
import statistics
import sys
import time
from datetime import timedelta
from pathlib import Path

from balsamspoke_fakes import FakeStore, StoreState, VirtualClock, VirtualTime
from balsamspoke_limits import BudgetSettings, Limits, TeamBudgets
from balsamspoke_types.identifiers import ProcessId

sys.path.insert(0, str(Path(__file__).parent.parent / "libs" / "limits"))

from tests.fleet import make_record

SIZES = {"today": (3, 5, 30), "target": (340, 1000, 300)}
SEEDS = (1, 2, 3, 4, 5)
DECISIONS = 20_000
MICROS = 1e6


def build(entries, teams, seed):
    """Return the budgets of one process that holds every team's units."""
    virtual = VirtualTime()
    clock = VirtualClock(virtual)
    limits = {f"team-{number}": Limits(1e6, 1e8) for number in range(teams)}
    budgets = TeamBudgets(
        ProcessId("vm-0", 1),
        clock,
        random.Random(seed),
        FakeStore(StoreState(), clock),
        lambda peer, message: None,
        limits.get,
        BudgetSettings(holders=entries),
    )
    records = tuple(make_record(f"vm-{number}") for number in range(entries))
    budgets.start()
    for _ in range(10):
        budgets.handle_vm_list(records, clock.monotonic())
        virtual.advance(timedelta(seconds=1))
    return virtual, budgets, list(limits)


def measure(entries, teams, open_count, seed):
    """Return microseconds for one reservation and its end, all local."""
    virtual, budgets, names = build(entries, teams, seed)
    draw = random.Random(seed)
    plan = [(draw.choice(names), draw.randrange(open_count)) for _ in range(DECISIONS)]
    held = []
    refused = [0]

    def refuse(failure):
        refused[0] += 1

    started = time.process_time()
    for team, choice in plan:
        budgets.reserve(team, 100).addCallbacks(held.append, refuse)
        if len(held) > open_count:
            held.pop(choice).settle(60)
        virtual.elapsed += timedelta(microseconds=10)
    spent = time.process_time() - started
    if refused[0]:
        raise SystemExit(f"{refused[0]} refused: not a measure of local decisions")
    return spent / DECISIONS * MICROS


def main():
    """Print a line for each size: median and range over the seeds."""
    for name, (entries, teams, open_count) in SIZES.items():
        found = [measure(entries, teams, open_count, seed) for seed in SEEDS]
        middle = statistics.median(found)
        print(
            f"{name}: {entries} entries, {teams} teams, {open_count} open: "
            f"{middle:.1f} us ({min(found):.1f} to {max(found):.1f})"
        )


if __name__ == "__main__":
    main()
