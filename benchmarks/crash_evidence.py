"""Measure how long the suspects of crashes take to compare.

    bash tools/run bench crash_evidence --suspects 25,50,100,200

Prints the processor time (ms) and the number of causes found, for prompts of 16 parts
of a text of 40 and of 32 parts of 400, at three crashes.
"""

import argparse
import random
import time
from datetime import timedelta

from balsamspoke_gateway.quarantine.evidence import CrashEvidence
from balsamspoke_gateway.quarantine.messages import CrashReport, CrashSuspect
from balsamspoke_gateway.quarantine.shares import SAMPLE_SIZE, PromptShares

CRASHES = 3
# Parts of a prompt, and of the text that they are drawn from.
TEXTS = ((16, 40), (32, 400))
SEED = 1
MILLISECONDS = 1000


def draw_parts(draw, size, text):
    """Return the ids (tuple of str) of some parts of a text."""
    return tuple(f"p{number}" for number in draw.sample(range(text), size))


def measure(count, size, text):
    """Return the processor time (s) of a comparison, and the number of causes."""
    draw = random.Random(SEED)
    evidence, shares = CrashEvidence(), PromptShares()
    for _ in range(SAMPLE_SIZE):
        shares.record(draw_parts(draw, size, text))
    for crash in range(CRASHES):
        suspects = tuple(
            CrashSuspect(f"request:{crash}-{number}", draw_parts(draw, size, text))
            for number in range(count // CRASHES)
        )
        evidence.add(CrashReport(f"replica-{crash}", 1, suspects), timedelta(0))
    started_at = time.process_time()
    causes = evidence.find_causes([], shares)
    return time.process_time() - started_at, len(causes)


def main():
    """Print the figures."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--suspects", default="25,50,100,200")
    for count in map(int, parser.parse_args().suspects.split(",")):
        for size, text in TEXTS:
            duration, causes = measure(count, size, text)
            print(
                f"{count} suspects, {size} parts of {text}: "
                f"{duration * MILLISECONDS:.0f} ms, {causes} causes"
            )


if __name__ == "__main__":
    main()
