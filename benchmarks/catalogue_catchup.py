"""Compare ways to bring a process up to date that was away for some changes."""

import argparse
import random
import statistics

from balsamspoke_catalogue import encode_object
from balsamspoke_catalogue.deltas import OBJECT_OVERHEAD_BYTES, PAGE_BYTES
from balsamspoke_types.objects import Adapter

SIZES = (3_000, 100_000)
MISSED = (1, 30, 1_300, 20_000)
HOT_PART = 0.8
HOT_ADAPTERS = 200
VERSIONS = 5
CHAIN_LENGTH = 32_768


def draw_changes(size, count, seed):
    """Return which adapter each change touches; a few are changed often."""
    source = random.Random(seed)
    hot = min(HOT_ADAPTERS, size)
    return [
        source.randrange(hot if source.random() < HOT_PART else size)
        for _ in range(count)
    ]


def get_object_bytes():
    """Return the bytes of one adapter in a delta."""
    name = "adapter-of-some-team-000000"
    versions = tuple(range(1, VERSIONS + 1))
    adapter = Adapter(name, "team-000", "kotoba", VERSIONS, versions)
    return len(name) + len(encode_object(adapter)) + OBJECT_OVERHEAD_BYTES


def count_calls(objects, object_bytes):
    """Return the pages that some objects take."""
    return max(1, -(-objects * object_bytes // PAGE_BYTES))


def split_by_powers(start, end):
    """Yield aligned ranges of a power of two that cover (start, end]."""
    while start < end:
        length = start & -start if start else CHAIN_LENGTH
        while start + length > end:
            length //= 2
        yield start, start + length
        start += length


def measure(size, missed, seed, object_bytes):
    """Return (bytes, calls) of each way for an asker that missed some changes."""
    changes = draw_changes(size, CHAIN_LENGTH, seed)
    start = CHAIN_LENGTH - missed
    latest = len(set(changes[start:]))
    combined = [
        len(set(changes[low:high]))
        for low, high in split_by_powers(start, CHAIN_LENGTH)
    ]
    objects_and_calls = {
        "snapshot": (size, count_calls(size, object_bytes)),
        "chain": (missed, missed),
        "powers of two": (
            sum(combined),
            sum(count_calls(objects, object_bytes) for objects in combined),
        ),
        "by revision": (latest, count_calls(latest, object_bytes)),
    }
    return {
        way: (objects * object_bytes, calls)
        for way, (objects, calls) in objects_and_calls.items()
    }


def main():
    """Print bytes and calls of each way, by size and changes missed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    seeds = range(parser.parse_args().seeds)
    object_bytes = get_object_bytes()
    print(f"bytes of an adapter: {object_bytes}")
    print("adapters  missed  way               kilobytes     calls")
    for size in SIZES:
        for missed in MISSED:
            rows = [measure(size, missed, seed, object_bytes) for seed in seeds]
            for way in rows[0]:
                sent = statistics.median(row[way][0] for row in rows) / 1e3
                calls = statistics.median(row[way][1] for row in rows)
                print(f"{size:8}  {missed:6}  {way:14}  {sent:12.1f}  {calls:8.0f}")


if __name__ == "__main__":
    main()
