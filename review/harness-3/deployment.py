"""Store, replicas, callers and entry processes of a small deployment on loopback."""

import asyncio
import contextlib
import hashlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "api.example"
KEY = "key-of-team-one"
TEAM = "team-one"
STORE_PORT = 8225
FRONT_PORT = 8221
READY_PORT = 8224
REPLICA_PORT = 8080
HEARTBEAT_SECONDS = 1.2
STARTUP_SECONDS = 20.0
# Time after which a case is given up, with all that it has started.
MAX_CASE_SECONDS = 110.0
# How the serving of a connection ends, by either side or with the case.
CONNECTION_ENDS = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError)

SETTINGS = """
node_name = "{name}"
role = "entry"
machine_class = "front"
ip = "{ip}"
zone = "{zone}"
region = "region"
port_range = [7600, 7615]
bootstrap = {bootstrap}
heartbeat_ms = 1200
[listen]
front = "{ip}:8221"
ready = "{ip}:8224"
[limits]
cpu_share = 0.817
cpus = 1
memory_mb = 300
max_fds = 4100
[bounds]
stable_window_ms = 3000
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
budget_ratio = 0.2
budget_window_s = 10
budget_extra = 52
quota_window_s = 8
quota_over = 0.1
quota_slack = 110000
version_ms = 5000
[platform]
address = "{store}"
form = "objects"
"""


def choose_network():
    """Return the first two numbers of loopback addresses that nobody listens on."""
    while True:
        network = f"127.{random.randint(2, 250)}.{random.randint(1, 250)}"
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((f"{network}.9", STORE_PORT))
            return network


class Record:
    """Log of what was sent, answered and run, written to ``record.txt``."""

    def __init__(self, folder):
        self._started_at = time.monotonic()
        self._file = Path(folder, "record.txt").open("w")

    def add(self, text):
        """Write a line with the seconds since the start."""
        self._file.write(f"{time.monotonic() - self._started_at:8.3f} {text}\n")
        self._file.flush()


async def read_message(reader):
    """Return the first line, headers (by lower-case name) and body of a message."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = await read_chunks(reader)
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return first, headers, body


async def read_chunks(reader):
    """Return the body of a message that is sent in chunks."""
    pieces = []
    while size := int((await reader.readline()).split(b";")[0], 16):
        pieces.append(await reader.readexactly(size))
        await reader.readexactly(2)
    await reader.readexactly(2)
    return b"".join(pieces)


def make_answer(status, headers, body):
    """Return the bytes of an answer with a length."""
    fields = {**headers, "Content-Length": str(len(body))}
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {fields[name]}" for name in fields)]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


class Store:
    """The platform's store: objects by kind and name, and watches of them.

    Attributes
    ----------
    delay : float
        Seconds until an answer is sent.
    cut_off : set of str
        Addresses of the store at which calls stay unanswered.
    is_away : bool
        Whether connections are reset.
    """

    def __init__(self, record):
        self._record = record
        self._objects = {}
        self._events = []
        self._changed = asyncio.Event()
        self.revision = 100
        self.delay = 0.004
        self.cut_off = set()
        self.is_away = False
        self._era = 1
        self._writers = set()

    def copy(self):
        """Return a copy of the objects, from which the store can be restored."""
        objects = {kind: dict(found) for kind, found in self._objects.items()}
        return self.revision, objects

    async def be_restored(self, copy, seconds):
        """Be away for a time, and come back from a copy."""
        self.is_away = True
        for writer in list(self._writers):
            writer.transport.abort()
        await asyncio.sleep(seconds)
        self.revision, self._objects = copy
        self._events = [each for each in self._events if each[0] <= self.revision]
        self._era += 1
        self.is_away = False

    async def start(self, ip):
        """Listen on an address of the store."""

        async def serve(reader, writer):
            await self._serve(ip, reader, writer)

        await asyncio.start_server(serve, ip, STORE_PORT)

    def put(self, kind, name, spec):
        """Write an object; return its revision."""
        self.revision += 1
        metadata = {"name": name, "revision": self.revision, "finalizers": []}
        stored = {"metadata": metadata, "spec": spec, "status": None}
        self._objects.setdefault(kind, {})[name] = stored
        self._publish(kind, stored, False)
        return self.revision

    def remove(self, kind, name):
        """Remove an object if it is there."""
        stored = self._objects.get(kind, {}).pop(name, None)
        if stored is not None:
            self.revision += 1
            self._publish(kind, stored, True)

    def _publish(self, kind, stored, is_removed):
        event = {"object": stored, "removed": is_removed}
        self._events.append((self.revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, ip, reader, writer):
        if self.is_away:
            writer.transport.abort()
            return
        self._writers.add(writer)
        with contextlib.suppress(*CONNECTION_ENDS):
            while True:
                first, _, body = await read_message(reader)
                if ip in self.cut_off:
                    break
                method, target, _ = first.split(" ")
                status, content = await self._answer(method, target, body)
                await asyncio.sleep(self.delay)
                if ip in self.cut_off:
                    break
                text = json.dumps(content).encode()
                fields = {
                    "Content-Type": "application/json",
                    "Store-Era": str(self._era),
                }
                writer.write(make_answer(status, fields, text))
                await writer.drain()
            # What is cut off hears nothing, not even the end of the connection.
            while ip in self.cut_off:
                await asyncio.sleep(0.1)
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, method, target, body):
        parts = urlsplit(target)
        path = [unquote(each) for each in parts.path.split("/")]
        kind, name = path[3], path[4] if len(path) > 4 else None
        query = parse_qs(parts.query)
        if method == "GET":
            return await self._read(kind, name, query)
        if method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        content = json.loads(body)
        metadata = content["metadata"]
        known = self._objects.get(kind, {}).get(metadata["name"])
        if known is None and method == "PUT":
            return 404, {}
        expected = metadata.get("revision")
        is_stale = expected and expected != known["metadata"]["revision"]
        if is_stale or (method == "POST" and known is not None):
            return 409, known
        self.put(kind, metadata["name"], content["spec"])
        return 200, {}

    async def _read(self, kind, name, query):
        objects = self._objects.get(kind, {})
        if name is not None:
            found = objects.get(name)
            return (404, {}) if found is None else (200, found)
        if "watch" not in query:
            items = [objects[each] for each in sorted(objects)]
            return 200, {"items": items, "has_more": False, "at": self.revision}
        since = int(query["watch"][0])
        if since > self.revision:
            return 410, {}
        ends_at = time.monotonic() + int(query["wait_ms"][0]) / 1000
        while True:
            events = [
                event
                for revision, event_kind, event in self._events
                if revision > since and event_kind == kind
            ]
            left = ends_at - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)


class Replica:
    """A replica of a service without models; it runs each request for a time.

    Attributes
    ----------
    runs : list
        Request ids, lengths and digests of the bodies that it has run.
    has_left : bool
        Whether it writes its entry no longer, though it goes on serving.
    """

    def __init__(self, record, store, replica_id, service, ip, zone, seconds):
        self._record = record
        self._store = store
        self._seconds = seconds
        self.has_left = False
        self.id = replica_id
        self._ip = ip
        self._entry = {
            "service": service,
            "address": f"{ip}:{REPLICA_PORT}",
            "zone": zone,
            "version": "1",
            "slots": 16,
            "state": "ready",
            "cold_left_ms": 0,
            "born": int(time.time() * 1000),
            "seqno": 0,
        }
        self.runs = []

    async def start(self):
        """Listen, and write the entry at each heartbeat."""
        await asyncio.start_server(self._serve, self._ip, REPLICA_PORT, limit=2**20)
        keep(self._beat())

    async def _beat(self):
        while not self.has_left:
            if not self._store.is_away:
                self._entry["seqno"] += 1
                self._store.put("servers", self.id, dict(self._entry))
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _serve(self, reader, writer):
        with contextlib.suppress(*CONNECTION_ENDS):
            while True:
                first, headers, body = await read_message(reader)
                writer.write(await self._run(first, headers, body))
                await writer.drain()
        writer.close()

    async def _run(self, first, headers, body):
        request = headers.get("request-id", "")
        fields = {"Request-Id": request, "Instance-Id": self.id}
        if headers.get("expect-instance", self.id) != self.id:
            return make_answer(421, {**fields, "Not-Run": "1"}, b"")
        digest = hashlib.sha256(body).hexdigest()
        self.runs.append((request, len(body), digest))
        self._record.add(f"{self.id} runs {request}: {first}, {len(body)} bytes")
        await asyncio.sleep(self._seconds)
        fields["Response-Stamp"] = f"stamp.{self.id}.{request}"
        fields["Keep-Alive"] = "timeout=15"
        return make_answer(200, fields, b"answer to " + request.encode())


class Entry:
    """An entry process, started with the command of the deploy file.

    Attributes
    ----------
    store_ip : str
        Address at which it calls the store, which is its own.
    peak_megabytes : float
        Most resident memory that was seen.
    was_over_memory : bool
        Whether it was killed, as it exceeded ``memory_mb`` of its settings.
    """

    def __init__(self, record, folder, name, ip, zone, store_ip):
        self._record = record
        self.name = name
        self.ip = ip
        self.store_ip = store_ip
        self._settings = Path(folder, f"{name}.toml")
        self._log = Path(folder, f"{name}.log")
        self._text = SETTINGS.format(
            name=name,
            ip=ip,
            zone=zone,
            bootstrap="{bootstrap}",
            store=f"{store_ip}:{STORE_PORT}",
        )
        self._starts = 0
        self.process = None
        self.peak_megabytes = 0.0
        self.was_over_memory = False

    async def start(self):
        """Start the process."""
        bootstrap = "false" if self._starts else "true"
        self._starts += 1
        self._settings.write_text(self._text.replace("{bootstrap}", bootstrap))
        path = os.environ.get("PATH", "")
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "balsamspoke_adapter",
                "entry",
                cwd=ROOT,
                env={
                    "PATH": path,
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "BALSAMSPOKE_SETTINGS": str(self._settings),
                },
                stdout=log,
                stderr=log,
            )

    async def wait_until_ready(self):
        """Wait until the process says that it is ready."""
        for _ in range(int(STARTUP_SECONDS / 0.05)):
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(self.ip, READY_PORT)
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                first = await reader.readline()
                writer.close()
                if b" 200" in first:
                    return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready")

    async def watch_memory(self, limit_megabytes):
        """Kill the process if it exceeds its memory, as the platform does."""
        while self.process.returncode is None:
            megabytes = self._measure()
            self.peak_megabytes = max(self.peak_megabytes, megabytes)
            if megabytes > limit_megabytes:
                self.was_over_memory = True
                self._record.add(f"{self.name} killed: {megabytes:.0f} MB in memory")
                self.signal(signal.SIGKILL)
                return
            await asyncio.sleep(0.005)

    def _measure(self):
        try:
            pages = Path(f"/proc/{self.process.pid}/statm").read_text().split()[1]
        except OSError:
            return 0.0
        return int(pages) * os.sysconf("SC_PAGE_SIZE") / 1_048_576

    def signal(self, number):
        """Send a signal, if the process is running."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self):
        """Kill the process and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    def read_log(self):
        """Return the output of all starts."""
        return self._log.read_text(errors="replace") if self._log.exists() else ""


class CannotRun(Exception):
    """The case could not be run."""


class Caller:
    """A caller with one connection, which it keeps for several requests."""

    def __init__(self, record, ip, name):
        self._record = record
        self._ip = ip
        self._name = name
        self._count = 0
        self._reader = self._writer = None

    async def connect(self):
        """Open the connection."""
        opening = asyncio.open_connection(self._ip, FRONT_PORT, limit=2**20)
        self._reader, self._writer = await opening

    def make_head(self, method, path, deadline_ms, size, headers=None):
        """Return the id and the head of the next request."""
        self._count += 1
        request = f"{self._name}-{self._count}"
        fields = {
            "Host": HOST,
            "Request-Id": request,
            "Deadline-Ms": str(deadline_ms),
            "Authorization": f"Bearer {KEY}",
            **(headers or {}),
        }
        if size:
            fields["Content-Length"] = str(size)
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        return request, "\r\n".join([*lines, "", ""]).encode()

    def write(self, data):
        """Write bytes to the connection."""
        self._writer.write(data)

    async def drain(self):
        """Wait until the connection takes more."""
        await self._writer.drain()

    async def read_answer(self, seconds):
        """Return the status of an answer; None if the connection ends without one."""
        try:
            message = await asyncio.wait_for(read_message(self._reader), seconds)
        except (OSError, asyncio.IncompleteReadError):
            return None
        return int(message[0].split(" ")[1])

    async def read_until_end(self, seconds):
        """Return the bytes of an answer in chunks, or those until the connection ends.

        An answer that isn't in chunks is read for the whole time.
        """
        data = b""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(seconds):
                while not data.endswith((b"\r\n0\r\n\r\n", b"}")):
                    piece = await self._reader.read(65_536)
                    if not piece:
                        break
                    data += piece
        return data

    def close(self):
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()


_tasks = set()


def keep(coroutine):
    """Run a coroutine beside the others; return its task."""
    task = asyncio.get_running_loop().create_task(coroutine)
    _tasks.add(task)
    task.add_done_callback(_tasks.discard)
    return task


def make_configuration(version, max_body_bytes=4_194_304, timeout_ms=4000):
    """Return the spec of ``config/main`` with a safe and an unsafe route."""
    routes = [
        {
            "name": kind,
            "host": HOST,
            "path_prefix": f"/{kind}/",
            "kind": kind,
            "timeout_ms": timeout_ms,
            "goal_ms": 400,
            "priority": 0,
            "service": "plain",
            "max_attempts": 1 if kind == "unsafe" else 2,
            "no_auth": False,
            "resumable": False,
        }
        for kind in ("safe", "unsafe")
    ]
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": "plain", "health_path": "/healthz", "max_conns": 360}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": max_body_bytes,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {
                "name": TEAM,
                "api_keys": [KEY],
                "unit": "tokens",
                "plain_tokens": 200,
                "rate_per_s": 0,
                "burst": 0,
            }
        ],
    }


class Deployment:
    """A store, replicas and entry processes.

    Attributes
    ----------
    record : Record
        Log of the case.
    store : Store
        The platform's store.
    replicas : list of Replica
        The replicas.
    entries : list of Entry
        The entry processes.
    network : str
        First three numbers of all addresses.
    store_ip : str
        Address of the store.
    """

    def __init__(self, folder, scratch, entries, replicas, run_seconds):
        network = self.network = choose_network()
        self.record = Record(folder)
        self.store = Store(self.record)
        self.store_ip = f"{network}.9"
        self.replicas = [
            Replica(
                self.record,
                self.store,
                f"i-{n}",
                "plain",
                f"{network}.{100 + n}",
                f"zone-{n}",
                run_seconds,
            )
            for n in range(1, replicas + 1)
        ]
        self.entries = [
            Entry(
                self.record,
                scratch,
                f"front-{n}",
                f"{network}.{10 + n}",
                f"zone-{n}",
                f"{network}.{200 + n}",
            )
            for n in range(1, entries + 1)
        ]

    async def start(self, configuration):
        """Start all; return when the entry processes are ready."""
        await self.store.start(self.store_ip)
        for entry in self.entries:
            await self.store.start(entry.store_ip)
        self.store.put("config", "main", configuration)
        for replica in self.replicas:
            await replica.start()
        for entry in self.entries:
            await entry.start()
        for entry in self.entries:
            await entry.wait_until_ready()

    async def stop(self):
        """Kill the entry processes."""
        for entry in self.entries:
            await entry.stop()


async def _play_in_time(playing):
    """Await a case; a timeout or SIGTERM cancels it, so that it ends its processes."""
    task = asyncio.ensure_future(playing)
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await asyncio.wait_for(task, MAX_CASE_SECONDS)


def run_case(play):
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if it can't run.

    Parameters
    ----------
    play : callable
        Called with the case's folder, a temporary folder and whether there is trouble;
        returns an awaitable of whether the rule held.
    """
    folder = Path(sys.argv[0]).resolve().parent
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    with tempfile.TemporaryDirectory() as scratch:
        try:
            has_held = asyncio.run(_play_in_time(play(folder, scratch, has_trouble)))
        except (CannotRun, OSError, asyncio.CancelledError) as error:
            print(f"cannot run: {error!r}")
            sys.exit(2)
    print("the rule held" if has_held else "the rule was broken")
    sys.exit(0 if has_held else 1)
