"""Measure the processor time of one replica choice by fleet size and policy.

Each line is a fleet size and a policy; figures are microseconds per choice, as median
and range over the seeds. Most of the first tenth of the choices find no cached ranking,
as right after a change of the replicas.
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

# Replicas and adapters.
SIZES = ((5, 3_000), (50, 10_000), (200, 30_000), (740, 100_000))
ZIPF_EXPONENT = 1.1
# None stands for the shipped policy.
POLICIES = {
    "round robin": lambda source: RoundRobin(),
    "least loaded": LeastLoaded,
    "plain rendezvous": PlainRendezvous,
    "affinity": lambda source: None,
}


def make_directory(replicas, seed, policy):
    """Return a ReplicaDirectory whose replicas have all reported."""
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
    """Return ``choices`` adapters out of ``count`` with Zipf popularity."""
    weights = [1 / (rank + 1) ** ZIPF_EXPONENT for rank in range(count)]
    references = [AdapterRef(f"adapter-{number}", 1) for number in range(count)]
    return random.Random(seed).choices(references, weights, k=choices)


def measure(replicas, adapters, choices, seed, policy):
    """Return microseconds per choice, of the first tenth and of the rest."""
    directory = make_directory(replicas, seed, policy)
    drawn = draw_adapters(adapters, choices, seed)
    first_count = choices // 10
    costs = []
    for batch in (drawn[:first_count], drawn[first_count:]):
        started = time.process_time()
        for adapter in batch:
            directory.choose("m", adapter)
        costs.append((time.process_time() - started) / len(batch) * 1e6)
    return costs


def main():
    """Print a table with a line for each fleet size and policy."""
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
            first_tenth = statistics.median(first_cost for first_cost, _ in results)
            rest = sorted(rest_cost for _, rest_cost in results)
            print(
                f"{replicas:8} {adapters:8} {policy:18} {first_tenth:9.1f} "
                f"{statistics.median(rest):9.1f}   ({rest[0]:.1f}..{rest[-1]:.1f})"
            )


if __name__ == "__main__":
    main()
