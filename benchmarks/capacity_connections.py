"""Measure what open connections between processes cost the process that holds them.

A second process takes the connections of many peers; this one dials them all, then does
nothing. Prints resident memory and processor time at several numbers of connections,
and a straight line through them.
"""

import argparse
import asyncio
import multiprocessing
import random
import statistics

import psutil
from balsamspoke_daemon.credentials import PlainCredentials
from balsamspoke_daemon.peers import GrpcTransport
from balsamspoke_types.identifiers import ProcessId
from balsamspoke_types.ports import PeerHandler, VmRecord

SIZES = (0, 50, 100, 200)
TARGET = 1_079
IDLE_SECONDS = 10
CONNECT_SECONDS = 60
MEGABYTE = 2**20


class CountingHandler(PeerHandler):
    """Count the connected peers."""

    def __init__(self):
        self.connected = 0

    def peer_connected(self, peer):
        """Note a connection."""
        self.connected += 1

    def peer_disconnected(self, peer):
        """Note the loss of a connection."""
        self.connected -= 1

    def peer_message(self, peer, message):
        """Drop a message."""


def make_transport(name, loop):
    """Return a transport without TLS, and its handler."""
    source = random.Random(0)
    transport = GrpcTransport(ProcessId(name, 1), loop, source, PlainCredentials())
    handler = CountingHandler()
    transport.bind(handler)
    return transport, handler


async def serve_peers(count, pipe):
    """Listen as many peers until told to end."""
    loop = asyncio.get_running_loop()
    peers = [make_transport(f"peer-{number}", loop)[0] for number in range(count)]
    pipe.send([await peer.listen("127.0.0.1:0") for peer in peers])
    await loop.run_in_executor(None, pipe.recv)
    await asyncio.gather(*(peer.close() for peer in peers))


def run_peers(count, pipe):
    """Be the process of the peers."""
    asyncio.run(serve_peers(count, pipe))


async def hold(ports):
    """Return MiB and % of a core of a process with these connections."""
    transport, handler = make_transport("holder", asyncio.get_running_loop())
    for number, port in enumerate(ports):
        address = f"127.0.0.1:{port}"
        transport.connect(VmRecord(f"peer-{number}", address, "r", "d", "side", "m"))
    async with asyncio.timeout(CONNECT_SECONDS):
        while handler.connected < len(ports):
            await asyncio.sleep(0.1)
    await asyncio.sleep(2)
    own = psutil.Process()
    before = own.cpu_times()
    await asyncio.sleep(IDLE_SECONDS)
    after = own.cpu_times()
    used = after.user + after.system - before.user - before.system
    memory = own.memory_info().rss / MEGABYTE
    return memory, used / IDLE_SECONDS * 100


def run_holder(ports, pipe):
    """Be the process that is measured."""
    pipe.send(asyncio.run(hold(ports)))


def measure(context, count):
    """Return the figures at a number of connections."""
    pipe, peers_pipe = context.Pipe()
    peers = context.Process(target=run_peers, args=(count, peers_pipe), daemon=True)
    peers.start()
    ports = pipe.recv()
    result, holder_pipe = context.Pipe()
    holder = context.Process(target=run_holder, args=(ports, holder_pipe), daemon=True)
    holder.start()
    if not result.poll(CONNECT_SECONDS + 2 * IDLE_SECONDS):
        raise TimeoutError(f"{count} connections weren't measured in time")
    figures = result.recv()
    holder.kill()
    pipe.send("end")
    peers.join(IDLE_SECONDS)
    peers.kill()
    return figures


def print_line(name, points):
    """Print the line through the points, and its value at the target."""
    slope, intercept = statistics.linear_regression(*zip(*points))
    reached = slope * TARGET + intercept
    line = f"slope {slope:.4f}, intercept {intercept:.2f}"
    print(f"{name}: {line}, at {TARGET} {reached:.1f}")


def main():
    """Run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--rounds", type=int, default=2)
    rounds = parser.parse_args().rounds
    context = multiprocessing.get_context("spawn")
    memory, used = [], []
    print("connections  MiB  % core")
    for count in SIZES:
        for _ in range(rounds):
            held, share = measure(context, count)
            memory.append((count, held))
            used.append((count, share))
            print(f"{count:11}  {held:.1f}  {share:.2f}", flush=True)
    print_line("resident MiB", memory)
    print_line("% of a core", used)


if __name__ == "__main__":
    main()
