"""A small deployment on loopback: programs, store and the operator's objects."""

import asyncio
import random
import shutil
import socket
import tempfile
import time
from pathlib import Path

from .programs import Program
from .store import Store

HOST = "api.example"
KEY = "key-of-team-a"
TEAM = "team-a"
STORE_PORT = 8225
REPLICA_PORT = 8080
READY_TIME = 20.0


def make_route(name, kind, service, timeout_ms=4000, **fields):
    """Return a route of the configuration under the path ``/NAME/``."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout_ms": timeout_ms,
        "goal_ms": 400,
        "priority": 0,
        "max_attempts": 1,
        **fields,
    }


def make_configuration(version, routes, services):
    """Return a version of the operator's configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "tenants": [{"name": TEAM, "api_keys": [KEY], "plain_tokens": 1}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def choose_network():
    """Return the first two bytes of loopback addresses with free ports."""
    while True:
        network = f"127.{random.randint(2, 250)}"
        try:
            with socket.socket() as probe:
                probe.bind((f"{network}.1.1", 8221))
            return network
        except OSError:
            continue


class Record:
    """What was sent, answered and run, written to ``record.txt`` of a case."""

    def __init__(self, folder):
        self._file = Path(folder, "record.txt").open("w")
        self._began_at = time.monotonic()

    def write(self, text):
        """Write a line with the time since the start."""
        elapsed = time.monotonic() - self._began_at
        self._file.write(f"{elapsed:8.3f} {text}\n")
        self._file.flush()


class Deployment:
    """Programs with a store, at addresses of their own.

    Attributes
    ----------
    network : str
        First two bytes of all addresses.
    store : Store
        Stand-in of the platform's store.
    entries, sides : list of Program
        The programs under test.
    """

    def __init__(self, entries=1):
        self.network = choose_network()
        self.folder = Path(tempfile.mkdtemp())
        self.store = Store()
        self.sides = []
        self.entries = [
            self._make_program(f"front-{n}", "entry", f"{self.network}.1.{n}")
            for n in range(1, entries + 1)
        ]

    def _make_program(self, name, role, ip, app="", service=""):
        store = f"{self.network}.9.1:{STORE_PORT}"
        return Program(self.folder, name, role, ip, store, app, service)

    def add_side(self, ip, service):
        """Add a side process beside the replica of a service at an address."""
        name = f"side-{len(self.sides) + 1}"
        app = f"{ip}:{REPLICA_PORT}"
        self.sides.append(self._make_program(name, "side", ip, app, service))

    async def start(self):
        """Start the store and the programs; return when all entries are ready."""
        await self.store.listen(f"{self.network}.9.1", STORE_PORT)
        for program in (*self.entries, *self.sides):
            program.start()
        for program in self.entries:
            await self.wait_until_ready(program)

    async def wait_until_ready(self, program):
        """Wait until an entry process says that it is ready."""
        ends_at = time.monotonic() + READY_TIME
        while time.monotonic() < ends_at:
            if await self.is_ready(program):
                return
            await asyncio.sleep(0.1)
        raise TimeoutError(f"{program.name} is not ready")

    async def is_ready(self, program):
        """Return whether an entry process answers its readiness check with 200."""
        try:
            reader, writer = await asyncio.open_connection(program.ip, 8224)
        except OSError:
            return False
        writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        line = await reader.readline()
        writer.close()
        return b" 200 " in line

    def stop(self):
        """End all programs and stand-ins."""
        for program in (*self.entries, *self.sides):
            program.kill()
        self.store.close()
        shutil.rmtree(self.folder, ignore_errors=True)
