"""Measure what at most once costs: bookings refused as not run, against an ideal.

Whole entry and side cores over fake ports in virtual time. Through a ten-minute
outage of the object API, and through the loss of an entry, callers send bookings with
and without an idempotency key, each once. The ideal with perfect knowledge refuses
none, as the services stay up. One line for each case: the median over the seeds, with
the spread.
"""

import argparse
import statistics
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "libs" / "node"))

from tests.fleet import Fleet

SECONDS = 600
LOST_AT = 10


def lose_nothing(fleet, second):
    """Let all run on."""


def stop_store(fleet, second):
    """Take the object API away for the whole time."""
    if second == 0:
        fleet.store.available = False


def lose_entry(fleet, second):
    """Kill an entry for good amid its bookings."""
    if second == LOST_AT:
        fleet.kill(fleet.entries()[0])


CASES = {
    "no failure": lose_nothing,
    "outage": stop_store,
    "entry lost": lose_entry,
}


def send_bookings(fleet, lose, seconds, keyed, rate):
    """Return the answers to bookings sent in turn through the running entries."""
    answers = []
    for second in range(seconds):
        for number in range(rate):
            entries = fleet.entries()
            running = [vm for vm in entries if fleet.machines[vm].is_running]
            entry = running[number % len(running)]
            key = f"key-{len(answers)}" if keyed else ""
            answers.append(fleet.book(entry, idempotency_key=key))
            if number == 0:
                # The lost entry has just taken this one.
                fleet.advance(0.0015)
                lose(fleet, second)
            fleet.advance((1 - 0.0015) / rate)
    return answers


def run_case(lose, seconds, keyed, rate, seed):
    """Return the parts refused as not run, unknown and without an answer."""
    fleet = Fleet(seed, entries=3, engines=0, services=2, adapters=0)
    fleet.settle()
    answers = send_bookings(fleet, lose, seconds, keyed, rate)
    fleet.advance(15)
    count = len(answers)
    not_run = sum(answer.outcome == "not-run" for answer in answers)
    unknown = sum(answer.outcome == "unknown" for answer in answers)
    silent = sum(answer.is_open for answer in answers)
    return not_run / count, unknown / count, silent / count


def describe(values):
    """Return the median with the spread, in percent."""
    low, high = min(values) * 100, max(values) * 100
    return f"{statistics.median(values) * 100:6.2f}% ({low:.2f} to {high:.2f})"


def main():
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=int, default=SECONDS)
    parser.add_argument("--rate", type=int, default=2)
    parser.add_argument("--seeds", type=int, default=3)
    options = parser.parse_args()
    print(f"{options.seconds} s, {options.rate} bookings a second; ideal: 0 in each")
    for name, lose in CASES.items():
        for keyed in (False, True):
            parts = [
                run_case(lose, options.seconds, keyed, options.rate, seed)
                for seed in range(options.seeds)
            ]
            kind = "with a key" if keyed else "without"
            columns = "  ".join(describe(part) for part in zip(*parts, strict=True))
            print(f"{name:10}  {kind:10}  not run, unknown, no answer: {columns}")


if __name__ == "__main__":
    main()
