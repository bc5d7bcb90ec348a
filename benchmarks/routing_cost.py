"""Measure the processor time of one replica choice, and how it grows.

Each line is a fleet size; figures are microseconds for each choice, the median and
the spread over the seeds. The first tenth of the choices mostly find
no ranking kept, as right after a change of the replicas.
"""

import argparse
import random
import statistics
import time

from balsamspoke_fakes import VirtualClock, VirtualTime
from balsamspoke_routing import (
    LeastLoaded,
    PlainRendezvous,
    ReplicaDirectory,
    RoundRobin,
)
from balsamspoke_types.identifiers import AdapterRef, ProcessId
from balsamspoke_types.messages import ReplicaReport

SIZES = ((5, 3_000), (50, 10_000), (200, 30_000), (740, 100_000))
ZIPF_EXPONENT = 1.1
POLICIES = {
    "round robin": lambda source: RoundRobin(),
    "least loaded": LeastLoaded,
    "plain rendezvous": PlainRendezvous,
    "affinity": lambda source: None,
}


def make_directory(replicas, seed, policy):
    """Return a directory whose replicas have reported."""
    source = random.Random(seed)
    directory = ReplicaDirectory(
        VirtualClock(VirtualTime()), source, policy=POLICIES[policy](source)
    )
    for number in range(replicas):
        peer = ProcessId(f"vm-{number}", seed)
        directory.update_member(peer, "m", "shari", True, False)
        directory.set_connected(peer, True)
        running = source.randrange(8)
        report = ReplicaReport("m", 1, running, 0, 0, 8, True)
        directory.store_report(peer, report)
    return directory


def draw_adapters(count, choices, seed):
    """Return adapters with skewed popularity."""
    weights = [1 / (rank + 1) ** ZIPF_EXPONENT for rank in range(count)]
    known = [AdapterRef(f"adapter-{number}", 1) for number in range(count)]
    return random.Random(seed).choices(known, weights, k=choices)


def measure(replicas, adapters, choices, seed, policy):
    """Return microseconds for each choice, for the first tenth and the rest."""
    directory = make_directory(replicas, seed, policy)
    drawn = draw_adapters(adapters, choices, seed)
    cut = choices // 10
    costs = []
    for part in (drawn[:cut], drawn[cut:]):
        begin = time.process_time()
        for adapter in part:
            directory.choose("m", adapter)
        costs.append((time.process_time() - begin) / len(part) * 1e6)
    return costs


def main():
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--choices", type=int, default=20_000)
    parser.add_argument("--seeds", type=int, default=5)
    options = parser.parse_args()
    print("replicas adapters policy            first tenth      rest   (min..max)")
    for replicas, adapters in SIZES:
        for policy in POLICIES:
            results = [
                measure(replicas, adapters, options.choices, seed, policy)
                for seed in range(options.seeds)
            ]
            first = statistics.median(cold for cold, _ in results)
            rest = sorted(warm for _, warm in results)
            print(
                f"{replicas:8} {adapters:8} {policy:18} {first:9.1f} "
                f"{statistics.median(rest):9.1f}   ({rest[0]:.1f}..{rest[-1]:.1f})"
            )


if __name__ == "__main__":
    main()
