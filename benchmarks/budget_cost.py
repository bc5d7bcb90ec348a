"""Measure the processor time of one budget decision at today's and the target size."""

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

# Entry processes, teams and open reservations.
SIZES = {"today": (3, 5, 30), "target": (340, 1000, 300)}
SEEDS = (1, 2, 3, 4, 5)
DECISIONS = 20_000
MICROSECONDS_PER_SECOND = 1e6


def build_budgets(entries, teams, seed):
    """Return the budgets of one process that holds every team's units.

    Returns
    -------
    tuple
        The VirtualTime, the TeamBudgets and a list of the teams' names.
    """
    virtual_time = VirtualTime()
    clock = VirtualClock(virtual_time)
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
        virtual_time.advance(timedelta(seconds=1))
    return virtual_time, budgets, list(limits)


def measure(entries, teams, open_count, seed):
    """Return microseconds for one reservation and its settlement within the process.

    Raises
    ------
    SystemExit
        If a reservation is refused, since the figure would not be of local decisions.
    """
    virtual_time, budgets, names = build_budgets(entries, teams, seed)
    random_source = random.Random(seed)
    decisions = [
        (random_source.choice(names), random_source.randrange(open_count))
        for _ in range(DECISIONS)
    ]
    reservations = []
    refusals = [0]

    def refuse(failure):
        refusals[0] += 1

    started = time.process_time()
    for team, choice in decisions:
        budgets.reserve(team, 100).addCallbacks(reservations.append, refuse)
        if len(reservations) > open_count:
            reservations.pop(choice).settle(60)
        virtual_time.elapsed += timedelta(microseconds=10)
    seconds = time.process_time() - started
    if refusals[0]:
        raise SystemExit(
            f"{refusals[0]} reservations refused; all must be granted locally"
        )
    return seconds / DECISIONS * MICROSECONDS_PER_SECOND


def main():
    """Print the median and range over the seeds for each size."""
    for name, (entries, teams, open_count) in SIZES.items():
        costs = [measure(entries, teams, open_count, seed) for seed in SEEDS]
        median = statistics.median(costs)
        print(
            f"{name}: {entries} entries, {teams} teams, {open_count} open: "
            f"{median:.1f} us ({min(costs):.1f} to {max(costs):.1f})"
        )


if __name__ == "__main__":
    main()
