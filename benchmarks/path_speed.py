"""Measure the overhead of the path through an entry and a side process.

The benchmark starts a deployment with one engine on loopback. It prints the time to the
first token through the path as a ratio of that of direct requests to the engine, the
processor time per token at 300 streams of 24 tokens a second, the resident memory when
idle and under that load, and the control traffic of idle processes.
"""

import argparse
import asyncio
import statistics
import sys
import tempfile
import time
import urllib.request
from dataclasses import replace
from urllib.parse import urlsplit

import orjson
import psutil
from balsamspoke_standins.deployment import (
    Deployment,
    DeploymentPlan,
    make_catalogue,
)
from balsamspoke_standins.deployment.catalogue import MODEL
from balsamspoke_types.objects import Adapter, Team

STREAMS = 300
TOKEN_INTERVAL_MS = 41
WARM_UP_SECONDS = 4.0
WINDOW_SECONDS = 8.0
IDLE_SECONDS = 10.0
FIRST_TOKEN_REQUESTS = 60
MEMORY_TARGET_MB = 128
CPU_TARGET_CORES = 0.60
CONTROL_TARGET_KB_PER_SECOND = 14


class Stream:
    """One streamed completion over a plain socket.

    Parameters
    ----------
    url : str
        Base URL of the entry process or engine.
    body : bytes
        Body of the request.
    key : str
        Caller's API key; empty to send none.

    Attributes
    ----------
    tokens : int
        Tokens received.
    first_token_seconds : float or None
        Seconds from the start to the first token; None before it arrives.
    """

    def __init__(self, url, body, key=""):
        parts = urlsplit(url)
        self._host, self._port = parts.hostname, parts.port
        authorization = f"Authorization: Bearer {key}\r\n" if key else ""
        head = (
            f"POST /v1/completions HTTP/1.1\r\nHost: {self._host}\r\n{authorization}"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        self._request = head.encode() + body
        self.tokens = 0
        self.first_token_seconds = None

    async def run(self):
        """Send the request and count the received tokens until the stream ends."""
        started = time.perf_counter()
        reader, writer = await asyncio.open_connection(self._host, self._port)
        writer.write(self._request)
        try:
            while data := await reader.read(65536):
                events = data.count(b"data: {")
                if events and self.first_token_seconds is None:
                    self.first_token_seconds = time.perf_counter() - started
                self.tokens += events
                if b"[DONE]" in data:
                    return
        finally:
            writer.close()


def make_body(model, tokens):
    """Return the body of a streamed completion request."""
    return orjson.dumps(
        {"model": model, "prompt": "tide", "max_tokens": tokens, "stream": True}
    )


async def measure_first_token(url, model, key=""):
    """Return the median time to the first token of several requests, in seconds."""
    times = []
    for _ in range(FIRST_TOKEN_REQUESTS):
        stream = Stream(url, make_body(model, 2), key)
        await stream.run()
        times.append(stream.first_token_seconds)
    return statistics.median(times)


def read_cpu_seconds(program):
    """Return the processor time that a program has used, in seconds."""
    used = psutil.Process(program.process.pid).cpu_times()
    return used.user + used.system


def read_memory_mb(program):
    """Return the resident memory of a program, in MB."""
    return psutil.Process(program.process.pid).memory_info().rss / 1e6


def read_status(url):
    """Return the status document of a process."""
    with urllib.request.urlopen(f"{url}/status", timeout=5) as reply:
        return orjson.loads(reply.read())


async def measure_streams(url, model, key, programs, streams):
    """Run streams and measure the programs while they run.

    Returns
    -------
    tuple
        Tokens a second; then a list of the processor time of each program in cores,
        and one of its resident memory in MB.
    """
    tokens = int((WARM_UP_SECONDS + WINDOW_SECONDS + 6) * 1000 / TOKEN_INTERVAL_MS)
    running = [Stream(url, make_body(model, tokens), key) for _ in range(streams)]
    tasks = [asyncio.create_task(stream.run()) for stream in running]
    await asyncio.sleep(WARM_UP_SECONDS)
    before = sum(stream.tokens for stream in running)
    used_before = [read_cpu_seconds(program) for program in programs]
    started = time.perf_counter()
    await asyncio.sleep(WINDOW_SECONDS)
    elapsed = time.perf_counter() - started
    count = sum(stream.tokens for stream in running) - before
    used = [
        (read_cpu_seconds(program) - earlier) / elapsed
        for program, earlier in zip(programs, used_before)
    ]
    memory = [read_memory_mb(program) for program in programs]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return count / elapsed, used, memory


def measure_idle(deployment, programs):
    """Return control bytes sent a second by process, and processor time in cores."""
    urls = list(deployment.status_urls.values())
    before = [read_status(url)["peer_bytes_sent"] for url in urls]
    used_before = [read_cpu_seconds(program) for program in programs]
    time.sleep(IDLE_SECONDS)
    sent = [
        (read_status(url)["peer_bytes_sent"] - earlier) / IDLE_SECONDS
        for url, earlier in zip(urls, before)
    ]
    used = [
        (read_cpu_seconds(program) - earlier) / IDLE_SECONDS
        for program, earlier in zip(programs, used_before)
    ]
    return dict(zip(deployment.status_urls, sent)), used


def print_target(name, value, target, unit):
    """Print a figure with its target and whether it is met."""
    verdict = "met" if value <= target else f"missed, factor {value / target:.2f}"
    print(f"{name:<44}{value:10.2f} {unit:<9} target {target} ({verdict})")


def main():
    """Run the benchmark; exit with status 1 if a program did not end cleanly."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--streams", type=int, default=STREAMS)
    parser.add_argument(
        "--pause",
        type=float,
        default=0,
        help="above 0: print process ids for a profiler",
    )
    options = parser.parse_args()
    plan = DeploymentPlan(
        domains=("one",),
        entries=1,
        engines=1,
        services=0,
        batch=options.streams + 20,
        token_ms=TOKEN_INTERVAL_MS,
    )
    catalogue = make_catalogue(20, plan.slots, plan.batch)
    objects = [
        replace(item, rate=1e9, burst=10**9) if isinstance(item, Team) else item
        for item in catalogue.objects
    ]
    with tempfile.TemporaryDirectory() as directory:
        deployment = Deployment(plan, directory)
        try:
            deployment.start(objects)
            report(deployment, catalogue, objects, options)
        finally:
            problems = deployment.stop()
    sys.exit(1 if problems else 0)


def report(deployment, catalogue, objects, options):
    """Measure the running deployment and print all figures."""
    adapter = next(item for item in objects if isinstance(item, Adapter))
    model = f"{adapter.name}:1"
    key = catalogue.keys[adapter.team]
    url = deployment.entry_urls[0]
    engine_url = next(iter(deployment.backend_urls.values()))
    programs = [deployment.entries[0], deployment.sides[0]]
    names = ("entry process", "side process")
    engine = deployment.find_program(f"{MODEL}-1-backend")
    time.sleep(3)
    idle_memory = [read_memory_mb(program) for program in programs]
    asyncio.run(Stream(url, make_body(model, 2), key).run())
    through = asyncio.run(measure_first_token(url, model, key))
    direct = asyncio.run(measure_first_token(engine_url, model))
    print(f"first token direct {direct * 1000:.1f} ms, through {through * 1000:.1f} ms")
    print(f"ratio through / direct {through / direct:.3f}")
    if options.pause:
        print("pids", [program.process.pid for program in programs], flush=True)
    rate, used, memory = asyncio.run(
        measure_streams(url, model, key, [*programs, engine], options.streams)
    )
    requested = options.streams * 1000 / TOKEN_INTERVAL_MS
    print(
        f"{options.streams} streams gave {rate:.0f} tokens a second of {requested:.0f}"
    )
    print(f"engine stand-in: {used[2]:.2f} cores")
    for name, share, idle, loaded in zip(names, used, idle_memory, memory):
        scaled = share * 7000 / rate
        print_target(
            f"{name}: core at 7,000 tokens/s", scaled, CPU_TARGET_CORES, "cores"
        )
        print(f"{name}: {share / rate * 1e6:.1f} microseconds a token")
        print_target(f"{name}: memory idle", idle, MEMORY_TARGET_MB, "MB")
        print_target(f"{name}: memory loaded", loaded, MEMORY_TARGET_MB, "MB")
    time.sleep(3)
    sent, idle_used = measure_idle(deployment, programs)
    for name, count in sent.items():
        label = f"{name}: control sent idle"
        print_target(label, count / 1000, CONTROL_TARGET_KB_PER_SECOND, "KB/s")
    for name, share in zip(names, idle_used):
        print_target(f"{name}: core idle", share * 100, 3.2, "% core")


if __name__ == "__main__":
    main()
