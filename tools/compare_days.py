"""Play days of a deployment for two checkouts and compare the results pair by pair.

Each day is played with each seed on both checkouts. The paired differences have less
spread than the plays themselves, as both meet the same requests and faults.
"""

import argparse
import re
import statistics
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

# Figures of a play that are compared.
COMPARED_FIGURES = ("worth", "served", "refused", "failed", "worst")

_NUMBER = r"(-?\d+\.\d+)"
_ROW = re.compile(
    rf"^\S+ +\d+/\d+ +{_NUMBER} +{_NUMBER} +{_NUMBER} +{_NUMBER} +{_NUMBER} +(.*)$",
    re.MULTILINE,
)
_BROKEN = re.compile(r"^ *(?:[A-Z]{3,} (?:broken|at)\b|gate: ).*$", re.MULTILINE)
_WORST = re.compile(r"worst windows (\d\.\d+)")


@dataclass(frozen=True)
class PlayResult:
    """Result of one day.

    Attributes
    ----------
    worth, served, refused, failed : float
        Columns of the bench's table.
    worst : float
        Part of the result that the worst seconds have.
    notes : str
        Rest of the table's row, and lines on broken rules.
    """

    worth: float
    served: float
    refused: float
    failed: float
    worst: float
    notes: str


def parse_result(output):
    """Return the PlayResult in the output of a play.

    Raises
    ------
    ValueError
        If the output has no row of results.
    """
    row = _ROW.search(output)
    if row is None:
        raise ValueError(f"no result in the output:\n{output[-2000:]}")
    worst = _WORST.search(output)
    notes = " | ".join([row.group(6), *_BROKEN.findall(output)])
    _, worth, served, refused, failed = (float(row.group(each)) for each in range(1, 6))
    worst_share = float(worst.group(1)) if worst else 0.0
    return PlayResult(worth, served, refused, failed, worst_share, notes)


def play(options, checkout, day, seed):
    """Play a day with a seed on a checkout; return its PlayResult."""
    command = [options.bench, "run", options.site, day, "--seed", str(seed)]
    command += ["--jobs", "1", "--why", options.why]
    if not options.cpu:
        command.append("--no-cpu")
    process = subprocess.run(
        command, cwd=checkout, capture_output=True, text=True, check=False
    )
    return parse_result(process.stdout + process.stderr)


def format_spread(values):
    """Return mean and standard error of paired differences."""
    mean = statistics.mean(values)
    if len(values) < 2:
        return f"{mean:+.4f}"
    error = statistics.stdev(values) / len(values) ** 0.5
    return f"{mean:+.4f} +- {error:.4f}"


def play_pairs(options):
    """Play all days and seeds on both checkouts; yield them with both results.

    Yields
    ------
    tuple of str, int, PlayResult and PlayResult
        Day, seed, and the results before and after.
    """
    cases = [(day, seed) for day in options.days for seed in options.seeds]
    with ThreadPoolExecutor(options.jobs) as executor:
        futures = [
            [
                executor.submit(play, options, checkout, day, seed)
                for checkout in (options.before, options.after)
            ]
            for day, seed in cases
        ]
        for (day, seed), (before, after) in zip(cases, futures, strict=True):
            yield day, seed, before.result(), after.result()


def print_pair(day, seed, before, after):
    """Print the results of one day and seed."""
    print(
        f"{Path(day).stem:28} seed {seed:4} "
        f"worth {before.worth:.3f} {after.worth:.3f} "
        f"served {before.served:.3f} {after.served:.3f} "
        f"worst {before.worst:.2f} {after.worst:.2f}",
        flush=True,
    )
    for name, result in (("before", before), ("after", after)):
        if "|" in result.notes:
            print(f"    {name}: {result.notes}")


def compare(options):
    """Play all days and seeds, and print the results and their differences."""
    pairs = []
    for day, seed, before, after in play_pairs(options):
        pairs.append((before, after))
        print_pair(day, seed, before, after)
    for name in COMPARED_FIGURES:
        values = [
            getattr(after, name) - getattr(before, name) for before, after in pairs
        ]
        print(f"{name:8} {format_spread(values)}")


def parse_seeds(text):
    """Return the list of seeds in a text such as ``1-3,7``."""
    seeds = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    return seeds


def main():
    """Compare two checkouts as the command line says."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("bench", help="path of the bench's program")
    parser.add_argument("site", help="path of the site file")
    parser.add_argument("before", help="checkout to compare with")
    parser.add_argument("after", help="checkout with the change")
    parser.add_argument("--days", nargs="+", required=True, help="days or day files")
    parser.add_argument("--seeds", type=parse_seeds, default=[1, 2, 3])
    parser.add_argument("--jobs", type=int, default=2, help="plays at a time")
    parser.add_argument("--cpu", action="store_true", help="charge processor time")
    parser.add_argument("--why", default="paired comparison")
    compare(parser.parse_args())


if __name__ == "__main__":
    sys.exit(main())
