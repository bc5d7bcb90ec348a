"""Compare routing policies by adapter misses and by waiting, in a small replay.

Replicas hold a few adapters each, the least recently used goes; a request on an
adapter that isn't there waits for its load. Requests beyond the batch wait in turn.
The popularity of the adapters is skewed and is drawn anew half way. Printed are the
part of the requests that missed their adapter and the 95th percentile of the load, in
batches, that a request found; medians over the seeds, and the spread.
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
BATCH = 32
ADAPTERS = 3_000
ZIPF_EXPONENT = 1.1
MEAN_SECONDS = 2.0
LOAD_SECONDS = 0.25
REPORT_INTERVAL = 0.25
POLICIES = {
    "round robin": lambda source: RoundRobin(),
    "least loaded": LeastLoaded,
    "plain rendezvous": PlainRendezvous,
    "affinity": lambda source: None,
}


class ReplayReplica:
    """One replica: adapters in its slots, and requests that run or wait."""

    def __init__(self, peer):
        self.peer = peer
        self.slots = OrderedDict()
        self.busy = 0
        self.sequence = 0

    def use(self, adapter):
        """Use an adapter; return whether it was missing."""
        missing = adapter not in self.slots
        self.slots[adapter] = None
        self.slots.move_to_end(adapter)
        if len(self.slots) > SLOTS:
            self.slots.popitem(last=False)
        return missing

    def make_report(self):
        """Return a ReplicaReport."""
        self.sequence += 1
        running = min(self.busy, BATCH)
        adapters = tuple(self.slots)
        queued = self.busy - running
        return ReplicaReport(
            "m", self.sequence, running, queued, 0, BATCH, True, adapters
        )


def replay(policy, seed, requests, load):
    """Return the part of misses and the 95th percentile of the load found."""
    source = random.Random(seed)
    elapsed = VirtualTime()
    directory = ReplicaDirectory(
        VirtualClock(elapsed), random.Random(seed), policy=POLICIES[policy](source)
    )
    replicas = {}
    for number in range(REPLICAS):
        peer = ProcessId(f"vm-{number}", seed)
        replicas[peer] = ReplayReplica(peer)
        directory.update_member(peer, "m", "shari", True, False)
        directory.set_connected(peer, True)
    rate = load * REPLICAS * BATCH / MEAN_SECONDS
    names = [AdapterRef(f"adapter-{number}", 1) for number in range(ADAPTERS)]
    weights = [1 / (rank + 1) ** ZIPF_EXPONENT for rank in range(ADAPTERS)]
    now, next_report, ends, misses, found = 0.0, 0.0, [], 0, []
    for _ in range(2):
        source.shuffle(names)
        for adapter in source.choices(names, weights, k=requests // 2):
            now += source.expovariate(rate)
            while ends and ends[0][0] <= now:
                _, peer = heapq.heappop(ends)
                replicas[peer].busy -= 1
                directory.count_ended_attempt(peer)
            elapsed.advance(timedelta(seconds=now) - elapsed.elapsed)
            if now >= next_report:
                next_report = now + REPORT_INTERVAL
                for replica in replicas.values():
                    directory.store_report(replica.peer, replica.make_report())
            replica = replicas[directory.choose("m", adapter)]
            directory.count_sent_attempt(replica.peer)
            missed = replica.use(adapter)
            misses += missed
            found.append(replica.busy / BATCH)
            replica.busy += 1
            wait = max(0, replica.busy - BATCH) * MEAN_SECONDS / BATCH
            duration = (
                wait + missed * LOAD_SECONDS + source.expovariate(1 / MEAN_SECONDS)
            )
            heapq.heappush(ends, (now + duration, replica.peer))
    return misses / requests, statistics.quantiles(found, n=20)[-1]


def main():
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--requests", type=int, default=10_000)
    parser.add_argument("--seeds", type=int, default=5)
    options = parser.parse_args()
    print("load  policy            missed (min..max)        p95 load found (min..max)")
    for load in (0.5, 0.8):
        for policy in POLICIES:
            results = [
                replay(policy, seed, options.requests, load)
                for seed in range(options.seeds)
            ]
            missed, found = (sorted(column) for column in zip(*results))
            print(
                f"{load:4}  {policy:16} {statistics.median(missed):7.3f} "
                f"({missed[0]:.3f}..{missed[-1]:.3f})  "
                f"{statistics.median(found):8.2f} ({found[0]:.2f}..{found[-1]:.2f})"
            )


if __name__ == "__main__":
    main()
