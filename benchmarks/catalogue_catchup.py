"""Compare ways to update a process that missed catalogue changes."""

import argparse
import random
import statistics

from balsamspoke_catalogue import encode_object
from balsamspoke_catalogue.deltas import OBJECT_OVERHEAD_BYTES, PAGE_BYTES
from balsamspoke_types.objects import Adapter

SIZES = (3_000, 100_000)
MISSED_CHANGES = (1, 30, 1_300, 20_000)
HOT_FRACTION = 0.8
HOT_ADAPTERS = 200
VERSIONS = 5
CHANGE_COUNT = 32_768


def draw_changes(size, count, seed):
    """Return the adapter number of each change; a few adapters change often."""
    source = random.Random(seed)
    hot_adapters = min(HOT_ADAPTERS, size)
    return [
        source.randrange(hot_adapters if source.random() < HOT_FRACTION else size)
        for _ in range(count)
    ]


def get_object_bytes():
    """Return the size of one adapter in a delta, in bytes."""
    name = "adapter-of-some-team-000000"
    versions = tuple(range(1, VERSIONS + 1))
    adapter = Adapter(name, "team-000", "kotoba", VERSIONS, versions)
    return len(name) + len(encode_object(adapter)) + OBJECT_OVERHEAD_BYTES


def count_calls(objects, object_bytes):
    """Return the number of pages, each fetched by one call, for some objects."""
    return max(1, -(-objects * object_bytes // PAGE_BYTES))


def split_by_powers(start, end):
    """Yield aligned ranges of power-of-two length that together cover (start, end]."""
    while start < end:
        length = start & -start if start else CHANGE_COUNT
        while start + length > end:
            length //= 2
        yield start, start + length
        start += length


def measure(size, missed, seed, object_bytes):
    """Return (bytes, calls) of each way for a process that missed some changes.

    ``snapshot`` sends all objects, ``chain`` each change by a call of its own, ``powers
    of two`` merged deltas of aligned ranges of changes, and ``by revision`` the current
    state of each object that changed.
    """
    changes = draw_changes(size, CHANGE_COUNT, seed)
    start = CHANGE_COUNT - missed
    changed_objects = len(set(changes[start:]))
    objects_by_range = [
        len(set(changes[range_start:range_end]))
        for range_start, range_end in split_by_powers(start, CHANGE_COUNT)
    ]
    objects_and_calls = {
        "snapshot": (size, count_calls(size, object_bytes)),
        "chain": (missed, missed),
        "powers of two": (
            sum(objects_by_range),
            sum(count_calls(objects, object_bytes) for objects in objects_by_range),
        ),
        "by revision": (changed_objects, count_calls(changed_objects, object_bytes)),
    }
    return {
        way: (objects * object_bytes, calls)
        for way, (objects, calls) in objects_and_calls.items()
    }


def main():
    """Print bytes and calls of each way, by catalogue size and changes missed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    seeds = range(parser.parse_args().seeds)
    object_bytes = get_object_bytes()
    print(f"bytes of an adapter: {object_bytes}")
    print("adapters  missed  way               kilobytes     calls")
    for size in SIZES:
        for missed in MISSED_CHANGES:
            rows = [measure(size, missed, seed, object_bytes) for seed in seeds]
            for way in rows[0]:
                sent = statistics.median(row[way][0] for row in rows) / 1e3
                calls = statistics.median(row[way][1] for row in rows)
                print(f"{size:8}  {missed:6}  {way:14}  {sent:12.1f}  {calls:8.0f}")


if __name__ == "__main__":
    main()
