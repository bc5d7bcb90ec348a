"""Measure the cost of at-most-once execution: bookings refused as not run.

The shipped entry and side cores run over fake ports in virtual time. During a
ten-minute outage of the object API, and around the loss of an entry process, callers
send bookings with and without an idempotency key, each once. An ideal system with
perfect knowledge refuses none, since the services stay up. Each line is a case, with
the median and the range over the seeds.
"""

import argparse
import statistics
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "libs" / "node"))

from tests.fleet import Fleet

DURATION_SECONDS = 600
ENTRY_LOSS_SECOND = 10


def inject_nothing(fleet, second):
    """Inject no fault."""


def inject_outage(fleet, second):
    """Make the object API unavailable for the whole run."""
    if second == 0:
        fleet.store.available = False


def inject_entry_loss(fleet, second):
    """Kill an entry process for good while it handles a booking."""
    if second == ENTRY_LOSS_SECOND:
        fleet.kill(fleet.entries()[0])


CASES = {
    "no failure": inject_nothing,
    "outage": inject_outage,
    "entry lost": inject_entry_loss,
}


def send_bookings(fleet, inject, seconds, has_key, rate):
    """Send bookings to the running entry processes in turn; return the answers."""
    answers = []
    for second in range(seconds):
        for number in range(rate):
            entries = fleet.entries()
            running = [vm for vm in entries if fleet.machines[vm].is_running]
            entry = running[number % len(running)]
            key = f"key-{len(answers)}" if has_key else ""
            answers.append(fleet.book(entry, idempotency_key=key))
            if number == 0:
                # The entry that may be lost has just accepted this booking.
                fleet.advance(0.0015)
                inject(fleet, second)
            fleet.advance((1 - 0.0015) / rate)
    return answers


def run_case(inject, seconds, has_key, rate, seed):
    """Return the shares refused as not run, with unknown outcome, and unanswered."""
    fleet = Fleet(seed, entries=3, engines=0, services=2, adapters=0)
    fleet.settle()
    answers = send_bookings(fleet, inject, seconds, has_key, rate)
    fleet.advance(15)
    count = len(answers)
    not_run = sum(answer.outcome == "not-run" for answer in answers)
    unknown = sum(answer.outcome == "unknown" for answer in answers)
    unanswered = sum(answer.is_open for answer in answers)
    return not_run / count, unknown / count, unanswered / count


def format_percentages(values):
    """Return the median and range of shares as text in percent."""
    low, high = min(values) * 100, max(values) * 100
    return f"{statistics.median(values) * 100:6.2f}% ({low:.2f} to {high:.2f})"


def main():
    """Print a table with a line for each case."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=int, default=DURATION_SECONDS)
    parser.add_argument("--rate", type=int, default=2)
    parser.add_argument("--seeds", type=int, default=3)
    options = parser.parse_args()
    print(f"{options.seconds} s, {options.rate} bookings a second; ideal: 0 in each")
    for name, inject in CASES.items():
        for has_key in (False, True):
            shares = [
                run_case(inject, options.seconds, has_key, options.rate, seed)
                for seed in range(options.seeds)
            ]
            key_label = "with a key" if has_key else "without"
            columns = "  ".join(
                format_percentages(column) for column in zip(*shares, strict=True)
            )
            print(f"{name:10}  {key_label:10}  not run, unknown, no answer: {columns}")


if __name__ == "__main__":
    main()
