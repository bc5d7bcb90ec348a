"""Measure the memory and the operation times of a CatalogueView at three sizes."""

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
    """Return the stored object of an adapter with five versions."""
    versions = tuple(range(1, VERSIONS + 1))
    name = f"adapter-of-some-team-{number:06}"
    adapter = Adapter(name, f"team-{number % TEAMS:03}", "kotoba", 5, versions)
    return StoredObject(Kind.ADAPTER, name, version, encode_object(adapter))


def fill_view(size, seed):
    """Return a complete view of ``size`` adapters that were stored in random order."""
    numbers = list(range(size))
    random.Random(seed).shuffle(numbers)
    view = CatalogueView()
    for version, number in enumerate(numbers, 1):
        view.put(make_stored(number, version))
    view.advance(size)
    return view


def measure_memory(size, seed):
    """Return the bytes of a filled view, and the peak while it is filled and read."""
    gc.collect()
    tracemalloc.start()
    view = fill_view(size, seed)
    for number in range(0, size, 7):
        view.adapter(f"adapter-of-some-team-{number:06}")
    make_page(view, PullCatalogue(0))
    gc.collect()
    used, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used, peak


def measure_times(size, seed):
    """Return microseconds of a put, a first lookup and a delta page of one change."""
    started = time.perf_counter()
    view = fill_view(size, seed)
    put_us = (time.perf_counter() - started) / size
    names = random.Random(seed).sample(view.names(Kind.ADAPTER), 2_000)
    started = time.perf_counter()
    for name in names:
        view.adapter(name)
    lookup_us = (time.perf_counter() - started) / len(names)
    started = time.perf_counter()
    for _ in range(100):
        make_page(view, PullCatalogue(size - 1))
    delta_us = (time.perf_counter() - started) / 100
    return put_us * 1e6, lookup_us * 1e6, delta_us * 1e6


def main():
    """Print one line for each size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    seeds = range(parser.parse_args().seeds)
    print("adapters  held MiB  peak MiB  bytes each  put us  lookup us  delta us")
    for size in SIZES:
        memory = [measure_memory(size, seed) for seed in seeds]
        times = [measure_times(size, seed) for seed in seeds]
        used = statistics.median(used for used, _ in memory)
        peak = statistics.median(peak for _, peak in memory)
        put_us, lookup_us, delta_us = (statistics.median(row) for row in zip(*times))
        print(
            f"{size:8}  {used / MEGABYTE:8.1f}  {peak / MEGABYTE:8.1f}"
            f"  {used / size:10.0f}  {put_us:6.1f}  {lookup_us:9.1f}  {delta_us:8.1f}"
        )


if __name__ == "__main__":
    main()
