"""Measure what it costs an entry process to know where streams have started."""

import statistics
import sys
import time
from dataclasses import replace
from datetime import timedelta
from pathlib import Path

from balsamspoke_gateway.stream_versions import (
    StreamOrigin,
    StreamOriginQuery,
    make_stream_keys,
)
from balsamspoke_transport.datagrams import PeerDatagramProtocol

sys.path.insert(0, str(Path(__file__).parent.parent / "libs" / "gateway"))

from tests.world import World, make_record

# Entry processes besides the one that is measured, and side processes.
SIZES = ((3, 6), (25, 24), (339, 740))
STREAMS = 5_000
ROUNDS = 5
# IP and UDP headers.
HEADER_BYTES = 28
MICROSECONDS_PER_SECOND = 1e6


class CountingTransport:
    """UDP transport that counts what is written and sends nothing."""

    def __init__(self):
        self.datagrams = []

    def write(self, data, address):
        """Count a datagram."""
        self.datagrams.append(data)


def make_process(peers, sides):
    """Return the protocol, transport and coordinator of a process with others."""
    world = World()
    names = [f"10.1.{number // 250}.{number % 250}" for number in range(peers)]
    now = world.clock.monotonic()
    world.context.peer_activity.set_peers(names, timedelta(hours=1), now)
    for number in range(sides):
        record = make_record(
            f"engine-{number}", "engines", software_version=f"v{number % 2}"
        )
        ip = f"10.2.{number // 250}.{number % 250}"
        world.context.fleet.directory.put(replace(record, ip=ip))
    transport = CountingTransport()
    protocol = PeerDatagramProtocol(7600, world.context.stream_versions.receive)
    protocol.transport = transport
    world.context.peers = protocol
    return protocol, transport, world.context.stream_versions


def measure(action, count):
    """Return the microseconds of processor time of one of a number of calls."""
    started = time.process_time()
    for number in range(count):
        action(number)
    return (time.process_time() - started) * MICROSECONDS_PER_SECOND / count


def measure_process(peers, sides):
    """Return microseconds to announce, to receive and to reply, and the sent bytes."""
    protocol, transport, versions = make_process(peers, sides)
    origin = StreamOrigin("assistant", "v1")

    def announce(number):
        name = f"{number:016x}"
        versions.record_start(make_stream_keys("harbour", name, name), origin)

    announced = measure(announce, STREAMS)
    notices = list(transport.datagrams)
    sent_bytes = sum(map(len, notices)) / STREAMS
    per_stream = len(notices) / STREAMS
    received = measure(
        lambda number: protocol.datagramReceived(notices[number], ("10.9.9.9", 7600)),
        STREAMS,
    )
    replied = measure(
        lambda number: versions.receive("10.9.9.9", StreamOriginQuery(number, number)),
        STREAMS,
    )
    return announced, received, replied, sent_bytes + per_stream * HEADER_BYTES


def main():
    """Print a line for each number of processes."""
    print("entry  side  announce us  receive us  reply us  bytes sent a stream")
    for peers, sides in SIZES:
        rounds = [measure_process(peers, sides) for _ in range(ROUNDS)]
        figures = [statistics.median(each) for each in zip(*rounds, strict=True)]
        print(f"{peers + 1:5d} {sides:5d}", *(f"{each:11.1f}" for each in figures))


if __name__ == "__main__":
    main()
