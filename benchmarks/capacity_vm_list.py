"""Measure what reading the VM list costs a process, at several sizes of the fleet.

A real client reads a list in the documented format, answered from memory. Prints bytes
a read, and kilobytes and processor time a second at the interval of the membership.
"""

import random
import statistics
import time

import orjson
from balsamspoke_membership import MembershipSettings
from balsamspoke_platform import HttpVmList
from twisted.internet.defer import succeed

SIZES = (108, 324, 1_080)
ENTRY_PART = 340 / 1_080
READS = 30
SEEDS = 5


class Reply:
    """An answer from memory."""

    status = 200

    def __init__(self, body):
        self.body = body


class Caller:
    """Answer each call with the same body."""

    def __init__(self, body):
        self._reply = Reply(body)

    def call(self, *_arguments, **_options):
        """Answer at once."""
        return succeed(self._reply)


def make_list(size, seed):
    """Return a VM list as bytes."""
    source = random.Random(seed)
    return orjson.dumps([make_record(source) for _ in range(size)])


def make_record(source):
    """Return one VM of the list."""
    is_entry = source.random() < ENTRY_PART
    number = source.randrange(16**8)
    return {
        "vm": f"vm-{number:08x}",
        "address": f"10.{source.randrange(256)}.{source.randrange(256)}.7:7400",
        "region": "region-1",
        "failure_domain": f"region-1-domain-{source.randrange(4)}",
        "role": "entry" if is_entry else "side",
        "service": "" if is_entry else "base-model",
        "state": "live",
    }


def measure(size, seed):
    """Return the bytes of one read and its processor time in seconds."""
    body = make_list(size, seed)
    client = HttpVmList(Caller(body))
    begun = time.process_time()
    for _ in range(READS):
        client.fetch()
    return len(body), (time.process_time() - begun) / READS


def main():
    """Print one line for each size."""
    interval = MembershipSettings().list_interval.total_seconds()
    print("VMs  KB a read  KB/s  % core (least..greatest)")
    for size in SIZES:
        runs = [measure(size, seed) for seed in range(SEEDS)]
        length = statistics.median(length for length, _ in runs) / 1000
        used = sorted(spent / interval * 100 for _, spent in runs)
        print(
            f"{size:4} {length:9.1f} {length / interval:6.1f}"
            f"  {statistics.median(used):.2f} ({used[0]:.2f}..{used[-1]:.2f})"
        )


if __name__ == "__main__":
    main()
