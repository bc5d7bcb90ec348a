"""Measure the memory that the catalogue in force takes, at three sizes."""

import argparse
import gc
import random
import statistics
import time
import tracemalloc

from balsamspoke_catalogue import CatalogueView, encode_object
from balsamspoke_catalogue.deltas import make_page
from balsamspoke_types.messages import PullCatalogue
from balsamspoke_types.objects import Adapter, Kind
from balsamspoke_types.ports import StoredObject

SIZES = (3_000, 30_000, 100_000)
TEAMS = 500
VERSIONS = 5
MEGABYTE = 2**20


def make_stored(number, version):
    """Return a stored adapter with five versions."""
    versions = tuple(range(1, VERSIONS + 1))
    name = f"adapter-of-some-team-{number:06}"
    adapter = Adapter(name, f"team-{number % TEAMS:03}", "kotoba", 5, versions)
    return StoredObject(Kind.ADAPTER, name, version, encode_object(adapter))


def fill_view(size, seed):
    """Return a complete view of a number of adapters."""
    numbers = list(range(size))
    random.Random(seed).shuffle(numbers)
    view = CatalogueView()
    for version, number in enumerate(numbers, 1):
        view.put(make_stored(number, version))
    view.advance(size)
    return view


def measure_memory(size, seed):
    """Return the bytes that a view holds, and its peak while it is filled and read."""
    gc.collect()
    tracemalloc.start()
    view = fill_view(size, seed)
    for number in range(0, size, 7):
        view.adapter(f"adapter-of-some-team-{number:06}")
    make_page(view, PullCatalogue(0))
    gc.collect()
    held, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return held, peak


def measure_times(size, seed):
    """Return microseconds for a put, a cold lookup and a delta of one change."""
    begun = time.perf_counter()
    view = fill_view(size, seed)
    put = (time.perf_counter() - begun) / size
    names = random.Random(seed).sample(view.names(Kind.ADAPTER), 2_000)
    begun = time.perf_counter()
    for name in names:
        view.adapter(name)
    lookup = (time.perf_counter() - begun) / len(names)
    begun = time.perf_counter()
    for _ in range(100):
        make_page(view, PullCatalogue(size - 1))
    delta = (time.perf_counter() - begun) / 100
    return put * 1e6, lookup * 1e6, delta * 1e6


def main():
    """Print one line for each size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    seeds = range(parser.parse_args().seeds)
    print("adapters  held MiB  peak MiB  bytes each  put us  lookup us  delta us")
    for size in SIZES:
        memory = [measure_memory(size, seed) for seed in seeds]
        times = [measure_times(size, seed) for seed in seeds]
        held = statistics.median(held for held, _ in memory)
        peak = statistics.median(peak for _, peak in memory)
        put, lookup, delta = (statistics.median(row) for row in zip(*times))
        print(
            f"{size:8}  {held / MEGABYTE:8.1f}  {peak / MEGABYTE:8.1f}"
            f"  {held / size:10.0f}  {put:6.1f}  {lookup:9.1f}  {delta:8.1f}"
        )


if __name__ == "__main__":
    main()
