"""Measure the memory and processor time that idle peer connections cost a process.

One process listens as many peers; the measured process connects to all of them and then
stays idle. The benchmark prints its resident memory and processor time at several
numbers of connections, and a straight line through them.
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

CONNECTION_COUNTS = (0, 50, 100, 200)
TARGET_CONNECTIONS = 1_079
IDLE_SECONDS = 10
CONNECT_SECONDS = 60
MEGABYTE = 2**20


class CountingHandler(PeerHandler):
    """Count the connected peers.

    Attributes
    ----------
    connected : int
        Peers that are connected now.
    """

    def __init__(self):
        self.connected = 0

    def peer_connected(self, peer):
        """Count a new connection."""
        self.connected += 1

    def peer_disconnected(self, peer):
        """Count the loss of a connection."""
        self.connected -= 1

    def peer_message(self, peer, message):
        """Ignore a message."""


def make_transport(name, loop):
    """Return a transport without TLS, and its handler."""
    source = random.Random(0)
    transport = GrpcTransport(ProcessId(name, 1), loop, source, PlainCredentials())
    handler = CountingHandler()
    transport.bind(handler)
    return transport, handler


async def serve_peers(count, pipe):
    """Listen as ``count`` peers, send their ports, and close on the next message."""
    loop = asyncio.get_running_loop()
    peers = [make_transport(f"peer-{number}", loop)[0] for number in range(count)]
    pipe.send([await peer.listen("127.0.0.1:0") for peer in peers])
    await loop.run_in_executor(None, pipe.recv)
    await asyncio.gather(*(peer.close() for peer in peers))


def run_peers(count, pipe):
    """Run the process that listens as the peers."""
    asyncio.run(serve_peers(count, pipe))


async def measure_process(ports):
    """Connect to all ports; return resident MiB and processor time in % of a core."""
    transport, handler = make_transport("holder", asyncio.get_running_loop())
    for number, port in enumerate(ports):
        address = f"127.0.0.1:{port}"
        transport.connect(VmRecord(f"peer-{number}", address, "r", "d", "side", "m"))
    async with asyncio.timeout(CONNECT_SECONDS):
        while handler.connected < len(ports):
            await asyncio.sleep(0.1)
    await asyncio.sleep(2)
    process = psutil.Process()
    before = process.cpu_times()
    await asyncio.sleep(IDLE_SECONDS)
    after = process.cpu_times()
    cpu = after.user + after.system - before.user - before.system
    memory = process.memory_info().rss / MEGABYTE
    return memory, cpu / IDLE_SECONDS * 100


def run_measured_process(ports, pipe):
    """Run the measured process and send its figures."""
    pipe.send(asyncio.run(measure_process(ports)))


def measure(context, count):
    """Return resident MiB and % of a core at a number of connections.

    Raises
    ------
    TimeoutError
        If the measured process does not send its figures in time.
    """
    pipe, peers_pipe = context.Pipe()
    peers = context.Process(target=run_peers, args=(count, peers_pipe), daemon=True)
    peers.start()
    ports = pipe.recv()
    result_pipe, measured_pipe = context.Pipe()
    measured = context.Process(
        target=run_measured_process, args=(ports, measured_pipe), daemon=True
    )
    measured.start()
    if not result_pipe.poll(CONNECT_SECONDS + 2 * IDLE_SECONDS):
        raise TimeoutError(f"timed out measuring {count} connections")
    figures = result_pipe.recv()
    measured.kill()
    pipe.send("end")
    peers.join(IDLE_SECONDS)
    peers.kill()
    return figures


def print_line(name, points):
    """Print the line through the points and its value at TARGET_CONNECTIONS."""
    slope, intercept = statistics.linear_regression(*zip(*points))
    at_target = slope * TARGET_CONNECTIONS + intercept
    line = f"slope {slope:.4f}, intercept {intercept:.2f}"
    print(f"{name}: {line}, at {TARGET_CONNECTIONS} {at_target:.1f}")


def main():
    """Run the benchmark and print its figures."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--rounds", type=int, default=2)
    rounds = parser.parse_args().rounds
    context = multiprocessing.get_context("spawn")
    memory, cpu = [], []
    print("connections  MiB  % core")
    for count in CONNECTION_COUNTS:
        for _ in range(rounds):
            resident_mib, cpu_percent = measure(context, count)
            memory.append((count, resident_mib))
            cpu.append((count, cpu_percent))
            print(f"{count:11}  {resident_mib:.1f}  {cpu_percent:.2f}", flush=True)
    print_line("resident MiB", memory)
    print_line("% of a core", cpu)


if __name__ == "__main__":
    main()
