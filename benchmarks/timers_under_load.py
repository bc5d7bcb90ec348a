"""Measure how late an entry process's timers run beside busy callers.

One entry process of the users' platform and three plain replicas run on loopback.
Callers send one short request after another on connections that they keep: requests
that are refused at once, as their key is unknown, and requests that a replica answers.
For each number of callers the benchmark prints the answers a second and how many of the
process's timers ran later than 100 ms. The replicas run in the benchmark's own process,
and bound the second kind if that is slower than the entry process.
"""

import argparse
import re
import signal
import subprocess
import sys
import tempfile
from datetime import timedelta
from pathlib import Path
from types import SimpleNamespace

from balsamspoke_standins.serving import get_reactor
from balsamspoke_transport.http_requests import Endpoint, HttpRequest
from balsamspoke_transport.pool import ConnectionPool
from balsamspoke_types.timing import sleep
from twisted.internet.defer import Deferred

CALLERS = (10, 40, 160, 320, 640)
START_TIME = timedelta(seconds=4)
SETTLING_TIME = timedelta(seconds=1)
REPLICAS = 3
METRIC = "balsamspoke_timer_lateness_seconds"
BOUND = "0.1"


def read_counts(page):
    """Return the timers that were measured, and those within ``BOUND``."""
    bucket = re.search(rf'{METRIC}_bucket{{[^}}]*le="{BOUND}"[^}}]*}} (\S+)', page)
    total = re.search(rf"{METRIC}_count\S* (\S+)", page)
    return float(total[1]), float(bucket[1])


async def read_metrics(deployment):
    """Return the metrics page of the entry process."""
    entry = deployment.entry_processes[0]
    pool = ConnectionPool(deployment.reactor, deployment.clock, b"")
    request = HttpRequest(b"GET", b"/metrics", ((b"Host", b"metrics"),))
    exchange = pool.send(Endpoint(entry.ip, 9464), request)
    await exchange.read_head()
    pieces = []
    while piece := await exchange.read_piece():
        pieces.append(piece)
    return b"".join(pieces).decode()


async def measure(deployment, callers, seconds, options):
    """Return the answers a second and the share of late timers."""
    entry = deployment.entry_processes[0]
    program = [sys.executable, "-m", "balsamspoke_standins.busy_callers"]
    busy = subprocess.Popen(
        [*program, entry.ip, "8221", str(callers), *options],
        stdout=subprocess.PIPE,
        text=True,
    )
    await sleep(deployment.clock, SETTLING_TIME)
    before = read_counts(await read_metrics(deployment))
    await sleep(deployment.clock, timedelta(seconds=seconds))
    after = read_counts(await read_metrics(deployment))
    busy.send_signal(signal.SIGTERM)
    answers = int(busy.communicate()[0])
    timers = after[0] - before[0]
    late = timers - (after[1] - before[1])
    return answers / (seconds + SETTLING_TIME.total_seconds()), late / timers


async def run(reactor, folder, seconds):
    """Measure all kinds of requests and numbers of callers, and print the results."""
    from soak.deployment import HOST, Deployment

    sizes = SimpleNamespace(entries=1, engines=0, services=REPLICAS)
    deployment = Deployment(reactor, Path(folder), sizes)
    served = ("--host", HOST.decode(), "--path", "/safe/x", "--key", "key-a")
    try:
        deployment.start()
        await sleep(deployment.clock, START_TIME)
        print("requests  callers  answers a second  timers later than 100 ms")
        for kind, options in (("refused", served[:4]), ("served", served)):
            for callers in CALLERS:
                rate, late = await measure(deployment, callers, seconds, options)
                print(f"{kind:8}  {callers:7}  {rate:16.0f}  {late:23.1%}", flush=True)
    finally:
        await deployment.stop()


def main():
    """Run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--seconds", type=float, default=5.0, help="for each number")
    arguments = parser.parse_args()
    reactor = get_reactor()
    with tempfile.TemporaryDirectory() as folder:
        running = Deferred.fromCoroutine(run(reactor, folder, arguments.seconds))
        running.addErrback(lambda failure: print(failure.getTraceback()))
        running.addBoth(lambda _: reactor.stop())
        reactor.run()


if __name__ == "__main__":
    main()
