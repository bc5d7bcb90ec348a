"""Measure the CPU time of queue operations by queue depth and number of teams."""

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
ORDER_CALLS = 50
SEEDS = (1, 2, 3)


def build_request(random_source, number, teams):
    """Return a QueuedRequest for one of 1,000 adapters with skewed popularity."""
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
    """Return microseconds of CPU time for each of two queue operations.

    Returns
    -------
    tuple of float
        A turn, which selects, removes and adds a request; and ordering the adapters
        that queued requests wait for.
    """
    source = random.Random(seed)
    for number in range(depth):
        queue.add(build_request(source, number, teams))
    new_requests = [build_request(source, depth + n, teams) for n in range(OPERATIONS)]
    runnable = [None, *(AdapterRef(f"adapter-{n}", 1) for n in range(SLOTS))]
    start = time.process_time()
    for request in new_requests:
        selected = queue.select(request.arrival, runnable)
        if selected is not None:
            queue.remove(selected)
            queue.add(request)
    middle = time.process_time()
    for request in new_requests[:ORDER_CALLS]:
        queue.order_adapters(request.arrival)
    end = time.process_time()
    return (middle - start) / OPERATIONS * 1e6, (end - middle) / ORDER_CALLS * 1e6


def main():
    """Print the medians over the seeds."""
    for teams in TEAMS:
        for depth in DEPTHS:
            for make_queue in (FifoQueue, lambda: FairQueue(timedelta(seconds=2))):
                runs = [measure(make_queue(), depth, teams, seed) for seed in SEEDS]
                name = type(make_queue()).__name__
                turn_us, order_us = (sorted(run[i] for run in runs)[1] for i in (0, 1))
                print(
                    f"{name} teams {teams} queued {depth}: a turn {turn_us:.1f} us, "
                    f"ordering the waiting adapters {order_us:.1f} us"
                )


if __name__ == "__main__":
    main()
