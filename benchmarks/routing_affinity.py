"""Compare routing policies by adapter misses and queueing, in a small simulation.

Each replica holds a few adapters and evicts the least recently used one; a request for
another adapter waits until it is loaded. Requests beyond the batch size queue. The
popularity of the adapters is skewed and is drawn anew halfway through. The benchmark
prints the share of requests that missed their adapter and the 95th percentile of the
replica load, in batches, that requests met; both as median and range over the seeds.
"""

import argparse
import heapq
import random
import statistics
from collections import OrderedDict
from datetime import timedelta

from balsamspoke_fakes import VirtualClock, VirtualTime
from balsamspoke_routing import (
    LeastLoaded,
    PlainRendezvous,
    ReplicaDirectory,
    RoundRobin,
)
from balsamspoke_types.identifiers import AdapterRef, ProcessId
from balsamspoke_types.messages import ReplicaReport

REPLICAS = 5
SLOTS = 16
BATCH_SIZE = 32
ADAPTERS = 3_000
ZIPF_EXPONENT = 1.1
MEAN_RUN_SECONDS = 2.0
ADAPTER_LOAD_SECONDS = 0.25
REPORT_INTERVAL_SECONDS = 0.25
# None stands for the shipped policy.
POLICIES = {
    "round robin": lambda source: RoundRobin(),
    "least loaded": LeastLoaded,
    "plain rendezvous": PlainRendezvous,
    "affinity": lambda source: None,
}


class SimulatedReplica:
    """Simulated replica with adapter slots.

    Parameters
    ----------
    peer : ProcessId
        Side process of the replica.

    Attributes
    ----------
    slots : OrderedDict
        Adapters held, the least recently used first.
    open_requests : int
        Requests that run or wait.
    sequence : int
        Number of the last report.
    """

    def __init__(self, peer):
        self.peer = peer
        self.slots = OrderedDict()
        self.open_requests = 0
        self.sequence = 0

    def use_adapter(self, adapter):
        """Load or reuse an adapter; return whether it was missing."""
        is_missing = adapter not in self.slots
        self.slots[adapter] = None
        self.slots.move_to_end(adapter)
        if len(self.slots) > SLOTS:
            self.slots.popitem(last=False)
        return is_missing

    def make_report(self):
        """Return a ReplicaReport of the current state."""
        self.sequence += 1
        running = min(self.open_requests, BATCH_SIZE)
        adapters = tuple(self.slots)
        queued = self.open_requests - running
        return ReplicaReport(
            "m", self.sequence, running, queued, 0, BATCH_SIZE, True, adapters
        )


def simulate(policy, seed, requests, load):
    """Return the share of misses and the 95th percentile of the load met."""
    source = random.Random(seed)
    virtual_time = VirtualTime()
    directory = ReplicaDirectory(
        VirtualClock(virtual_time), random.Random(seed), policy=POLICIES[policy](source)
    )
    replicas = {}
    for number in range(REPLICAS):
        peer = ProcessId(f"vm-{number}", seed)
        replicas[peer] = SimulatedReplica(peer)
        directory.update_member(peer, "m", "shari", True, False)
        directory.set_connected(peer, True)
    rate = load * REPLICAS * BATCH_SIZE / MEAN_RUN_SECONDS
    names = [AdapterRef(f"adapter-{number}", 1) for number in range(ADAPTERS)]
    weights = [1 / (rank + 1) ** ZIPF_EXPONENT for rank in range(ADAPTERS)]
    now, next_report, pending_ends, misses, loads_found = 0.0, 0.0, [], 0, []
    for _ in range(2):
        source.shuffle(names)
        for adapter in source.choices(names, weights, k=requests // 2):
            now += source.expovariate(rate)
            while pending_ends and pending_ends[0][0] <= now:
                _, peer = heapq.heappop(pending_ends)
                replicas[peer].open_requests -= 1
                directory.count_ended_attempt(peer)
            virtual_time.advance(timedelta(seconds=now) - virtual_time.elapsed)
            if now >= next_report:
                next_report = now + REPORT_INTERVAL_SECONDS
                for replica in replicas.values():
                    directory.store_report(replica.peer, replica.make_report())
            replica = replicas[directory.choose("m", adapter)]
            directory.count_sent_attempt(replica.peer)
            is_miss = replica.use_adapter(adapter)
            misses += is_miss
            loads_found.append(replica.open_requests / BATCH_SIZE)
            replica.open_requests += 1
            queue_seconds = (
                max(0, replica.open_requests - BATCH_SIZE)
                * MEAN_RUN_SECONDS
                / BATCH_SIZE
            )
            total_seconds = (
                queue_seconds
                + is_miss * ADAPTER_LOAD_SECONDS
                + source.expovariate(1 / MEAN_RUN_SECONDS)
            )
            heapq.heappush(pending_ends, (now + total_seconds, replica.peer))
    return misses / requests, statistics.quantiles(loads_found, n=20)[-1]


def main():
    """Print a table with a line for each load and policy."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--requests", type=int, default=10_000)
    parser.add_argument("--seeds", type=int, default=5)
    options = parser.parse_args()
    print("load  policy            missed (min..max)        p95 load found (min..max)")
    for load in (0.5, 0.8):
        for policy in POLICIES:
            results = [
                simulate(policy, seed, options.requests, load)
                for seed in range(options.seeds)
            ]
            misses, loads = (sorted(column) for column in zip(*results))
            print(
                f"{load:4}  {policy:16} {statistics.median(misses):7.3f} "
                f"({misses[0]:.3f}..{misses[-1]:.3f})  "
                f"{statistics.median(loads):8.2f} ({loads[0]:.2f}..{loads[-1]:.2f})"
            )


if __name__ == "__main__":
    main()
