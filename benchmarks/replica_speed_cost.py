"""Cost of the speeds of replicas at the size of the target.

Prints microseconds of processor for the slowdowns of all replicas, for a sample and for
the upkeep once a second, and the bytes that messages carry for them.
"""

import random
import timeit
from dataclasses import replace
from datetime import timedelta

from balsamspoke_fakes import VirtualClock, VirtualTime
from balsamspoke_gateway.fleet.replicas import ReplicaRecord
from balsamspoke_gateway.messages import EntryDemand, ReplicaState
from balsamspoke_gateway.replica_speed import ReplicaSpeeds, SlowdownNotice
from balsamspoke_gateway.replica_speed.messages import (
    LearnedSlowdown,
    RecentSamples,
    ReplicaSlowdown,
    StatedSlowdown,
)
from msgspec import msgpack

REPLICAS = 740
ROUNDS = 5
# Time from one request at an entry process to the next at the peak.
REQUEST_INTERVAL = timedelta(milliseconds=35)
LEARNED = LearnedSlowdown(1.2345, 20.123)


def measure(function, calls):
    """Return the least microseconds of a call in some rounds."""
    return min(timeit.repeat(function, number=calls, repeat=ROUNDS)) / calls * 1e6


def make_records():
    """Return the entries of all replicas."""
    return [
        ReplicaRecord(f"replica-{number}", 1, "engines", "10.0.0.1", 80, "north", 8)
        for number in range(REPLICAS)
    ]


def main():
    """Measure and print all of it."""
    clock, records = VirtualClock(VirtualTime()), make_records()
    speeds, now = ReplicaSpeeds(), clock.monotonic()
    for record in records:
        speeds.record_stated(record, random.uniform(0.5, 2), now)
        for _ in range(9):
            duration = timedelta(seconds=random.uniform(0.03, 0.09))
            speeds.record_duration(record, "read", duration, now)

    def find_all():
        nonlocal now
        now += REQUEST_INTERVAL
        for record in records:
            speeds.find_slowdown(record, now)

    def find_rules():
        for record in records:
            speeds.find_rule(record, now)

    duration = timedelta(seconds=0.05)
    print(f"slowdowns of {REPLICAS} replicas: {measure(find_all, 20):.0f} us a request")
    print(f"rules of {REPLICAS} replicas: {measure(find_rules, 20):.0f} us a second")
    sample = measure(
        lambda: speeds.record_duration(records[0], "read", duration, now), 1000
    )
    print(f"a sample: {sample:.1f} us")
    encode = msgpack.Encoder().encode
    demand, state = EntryDemand(), ReplicaState(1_700_000_000_000)
    told = replace(
        demand, learned_slowdown=LEARNED, recent_samples=RecentSamples(2.345, 5)
    )
    print("demand:", len(encode(demand)), "to", len(encode(told)), "bytes")
    told = replace(
        state,
        learned_slowdown=LEARNED,
        recent_slowdown=2.345,
        stated_slowdown=StatedSlowdown(1.5, 0.1234),
    )
    print("state:", len(encode(state)), "to", len(encode(told)), "bytes")
    notice = SlowdownNotice(
        tuple(
            ReplicaSlowdown(f"i-{number:010x}", 1_700_000_000_000, LEARNED)
            for number in range(4)
        )
    )
    print("notice of 4 replicas:", len(encode(notice)), "bytes")


if __name__ == "__main__":
    main()
