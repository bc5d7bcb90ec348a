"""Measure the cost of reading the VM list at several fleet sizes.

The shipped client reads a list in the documented format, answered from memory. The
benchmark prints kilobytes per read, and kilobytes and processor time per second at the
membership's default polling interval.
"""

import random
import statistics
import time

import orjson
from balsamspoke_membership import MembershipSettings
from balsamspoke_platform import HttpVmList
from twisted.internet.defer import succeed

SIZES = (108, 324, 1_080)
ENTRY_SHARE = 340 / 1_080
READS = 30
SEEDS = 5


class FakeReply:
    """HTTP answer of the VM list with a body from memory."""

    status = 200

    def __init__(self, body):
        self.body = body


class FakeCaller:
    """HTTP client that answers each call with the same body."""

    def __init__(self, body):
        self._reply = FakeReply(body)

    def call(self, *_arguments, **_options):
        """Return a Deferred that has already fired with the answer."""
        return succeed(self._reply)


def make_list(size, seed):
    """Return a VM list of ``size`` VMs in JSON."""
    source = random.Random(seed)
    return orjson.dumps([make_record(source) for _ in range(size)])


def make_record(source):
    """Return a random VM as it stands in the list."""
    is_entry = source.random() < ENTRY_SHARE
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
    """Return the bytes and the processor time in seconds of one read."""
    body = make_list(size, seed)
    client = HttpVmList(FakeCaller(body))
    started = time.process_time()
    for _ in range(READS):
        client.fetch()
    return len(body), (time.process_time() - started) / READS


def main():
    """Print a line for each fleet size."""
    interval = MembershipSettings().list_interval.total_seconds()
    print("VMs  KB a read  KB/s  % core (least..greatest)")
    for size in SIZES:
        runs = [measure(size, seed) for seed in range(SEEDS)]
        kilobytes = statistics.median(read_bytes for read_bytes, _ in runs) / 1000
        cpu = sorted(seconds / interval * 100 for _, seconds in runs)
        print(
            f"{size:4} {kilobytes:9.1f} {kilobytes / interval:6.1f}"
            f"  {statistics.median(cpu):.2f} ({cpu[0]:.2f}..{cpu[-1]:.2f})"
        )


if __name__ == "__main__":
    main()
