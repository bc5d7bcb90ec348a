"""Measure the processor time of one queue operation, and its growth."""

import random
import time
from datetime import timedelta

from balsamspoke_replica import FairQueue, FifoQueue, QueuedRequest
from balsamspoke_types.identifiers import AdapterRef, AttemptId, ProcessId
from balsamspoke_types.messages import RunGeneration
from balsamspoke_types.objects import PriorityClass

ENTRY = ProcessId("entry", 1)
SLOTS = 8
DEPTHS = (16, 128, 512)
TEAMS = (5, 100)
OPERATIONS = 500
ORDERINGS = 50
SEEDS = (1, 2, 3)


def build_request(random_source, number, teams):
    """Return a QueuedRequest for one of 1,000 adapters."""
    team = random_source.randrange(teams)
    order = RunGeneration(
        AttemptId(ENTRY, number),
        "",
        f"team-{team}",
        "base",
        AdapterRef(f"adapter-{int(1000 * random_source.random() ** 4)}", 1),
        b"{}",
        100,
        priority=random_source.choice(list(PriorityClass)),
    )
    now = timedelta(milliseconds=number)
    return QueuedRequest(order, ENTRY, now, now + timedelta(seconds=30), 100)


def measure(queue, depth, teams, seed):
    """Return microseconds for selecting, removing and adding, and for ordering."""
    source = random.Random(seed)
    for number in range(depth):
        queue.add(build_request(source, number, teams))
    fresh = [build_request(source, depth + n, teams) for n in range(OPERATIONS)]
    runnable = [None, *(AdapterRef(f"adapter-{n}", 1) for n in range(SLOTS))]
    begin = time.process_time()
    for request in fresh:
        found = queue.select(request.arrival, runnable)
        if found is not None:
            queue.remove(found)
            queue.add(request)
    turned = time.process_time()
    for request in fresh[:ORDERINGS]:
        queue.order_adapters(request.arrival)
    ended = time.process_time()
    return (turned - begin) / OPERATIONS * 1e6, (ended - turned) / ORDERINGS * 1e6


def main():
    """Print the medians of several seeds."""
    for teams in TEAMS:
        for depth in DEPTHS:
            for build in (FifoQueue, lambda: FairQueue(timedelta(seconds=2))):
                runs = [measure(build(), depth, teams, seed) for seed in SEEDS]
                name = type(build()).__name__
                turn, order = (sorted(run[i] for run in runs)[1] for i in (0, 1))
                print(
                    f"{name} teams {teams} queued {depth}: a turn {turn:.1f} us, "
                    f"ordering the waiting adapters {order:.1f} us"
                )


if __name__ == "__main__":
    main()
