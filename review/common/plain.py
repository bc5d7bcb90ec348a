"""A small deployment with plain replicas and steady traffic, for the review cases."""

import asyncio
import time

from harness import (
    NETWORK,
    REPLICA_PORT,
    STORE_IP,
    STORE_PORT,
    Caller,
    PlainReplica,
    Program,
    Store,
    make_configuration,
    make_route,
    wait_until_ready,
)

ROUTE_TIMEOUT_S = 2.0
DEADLINE_MS = 4000
# Time after the start in which nothing is disturbed; the pages' ``stable_window_ms``.
CALM_S = 3.5
BODY = b"x" * 600


class PlainDeployment:
    """Entry processes, replicas without models, and the store.

    Parameters
    ----------
    record : Record
        Receives what is sent, answered and run.
    scratch : str
        Temporary folder for settings and logs.
    replica_type : type
        Class of the replicas, a PlainReplica.
    entries, replicas : int
        Numbers of processes and replicas.
    """

    def __init__(
        self, record, scratch, replica_type=PlainReplica, entries=2, replicas=3
    ):
        self.record = record
        self.store = Store(record)
        self.replicas = [
            replica_type(record, f"p-{number}", f"{NETWORK}.3.{number}")
            for number in range(1, replicas + 1)
        ]
        self.entries = [
            Program(scratch, f"entry-{number}", "entry", f"{NETWORK}.1.{number}")
            for number in range(1, entries + 1)
        ]
        self.outcomes = []
        self._count = 0

    async def start(self):
        """Start everything, and wait until the entry processes are ready."""
        await self.store.listen(STORE_IP, STORE_PORT)
        timeout_ms = 1000 * ROUTE_TIMEOUT_S
        routes = [
            make_route("look", "safe", "plain", timeout_ms, 300, 2),
            make_route("book", "unsafe", "plain", timeout_ms, 300, 1),
        ]
        self.store.put("config", "main", make_configuration(1, routes))
        for replica in self.replicas:
            await replica.listen(replica.ip, REPLICA_PORT)
            self.store.put("servers", replica.id, replica.describe())
        for entry in self.entries:
            await entry.start()
        for entry in self.entries:
            if not await wait_until_ready(entry.ip):
                raise RuntimeError(f"{entry.name} is not ready: {entry.read_log()}")
        await asyncio.sleep(CALM_S)

    async def stop(self):
        """End all processes, and close all sockets."""
        for entry in self.entries:
            await entry.kill()
        for replica in self.replicas:
            replica.close()
        self.store.close()
        await asyncio.sleep(0.1)

    async def send_traffic(self, seconds, per_second):
        """Send requests at a steady rate, and wait for their ends."""
        tasks = []
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            tasks.append(asyncio.create_task(self._send_one()))
            await asyncio.sleep(1 / per_second)
        await asyncio.gather(*tasks)

    async def _send_one(self):
        """Send a request on a connection of its own; one in three only reads."""
        self._count += 1
        number = self._count
        entry = self.entries[number % len(self.entries)]
        caller = Caller(self.record, entry.ip)
        headers = {"Deadline-Ms": str(DEADLINE_MS)}
        patience = DEADLINE_MS / 1000
        if number % 3 == 0:
            call = caller.call(f"r{number}", "look", "GET", headers, b"", patience)
        else:
            call = caller.call(f"r{number}", "book", "POST", headers, BODY, patience)
        self.outcomes.append(await call)
        caller.close()

    def count_statuses(self):
        """Return how the requests ended, as text."""
        counts = {}
        for each in self.outcomes:
            status = each.status if each.is_complete or not each.status else "cut"
            key = f"{each.kind} {status}"
            counts[key] = counts.get(key, 0) + 1
        return ", ".join(f"{key}: {counts[key]}" for key in sorted(counts))
