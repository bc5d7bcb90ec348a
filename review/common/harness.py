"""Stand-ins for the platform, the replicas and the callers of a review case.

They listen on loopback addresses only, and write what they see to a record.
"""

import asyncio
import json
import os
import signal
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
NETWORK = f"127.{1 + os.getpid() % 250}"
STORE_IP = f"{NETWORK}.9.1"
STORE_PORT = 8225
REPLICA_PORT = 8080
CALLER_PORT = 8221
READY_PORT = 8224
HOST = "api.example"
KEY = "key-a"
TEAM = "team-a"
# Whether the case brings its disruption about.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Bounds of the small deployments' settings.
SETTINGS = """
node_name = "{name}"
role = "{role}"
ip = "{ip}"
zone = "north"
port_range = [7600, 7615]
app = "{app}"
service = "engines"
bootstrap = {bootstrap}
[listen]
front = "{front}"
ready = "{ready}"
[limits]
memory_mb = 300
[bounds]
stable_window_ms = 3000
drain_ms = 2000
config_apply_ms = 2000
grace_s = 8
budget_ratio = 0.2
budget_window_s = 10
budget_extra = 52
quota_window_s = 8
quota_over = 0.1
quota_slack = 110000
version_ms = 5000
[platform]
address = "{store}"
"""


class Record:
    """Lines of what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w")
        self._started_at = time.monotonic()

    def seconds(self):
        """Return the seconds since the start."""
        return time.monotonic() - self._started_at

    def write(self, text):
        """Write a line with the time."""
        self._file.write(f"{self.seconds():8.3f} {text}\n")
        self._file.flush()


@dataclass
class Request:
    """A request as it was read from a connection; header names in lower case."""

    method: str
    target: str
    headers: dict
    body: bytes
    read_at: float


async def read_request(reader):
    """Read a request; return None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    pairs = [line.partition(":") for line in lines[1:] if line]
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(method, target, headers, body, time.monotonic())


def make_response(status, headers, body):
    """Return the bytes of a response with a length."""
    fields = {**headers, "Content-Length": str(len(body))}
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"HTTP/1.1 {status} -\r\n{head}\r\n".encode("latin-1") + body


class Server:
    """HTTP server that passes each request to ``answer(request, writer)``."""

    def __init__(self):
        self._server = None
        self._tasks = set()
        self.writers = set()

    async def listen(self, ip, port):
        """Listen on a loopback address."""
        self._server = await asyncio.start_server(self._serve, ip, port)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        self.writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                await self.answer(request, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self.writers.discard(writer)
            writer.close()

    def close(self):
        """Stop listening, and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()


class Store(Server):
    """The platform's store: objects by kind and name, with lists and watches."""

    def __init__(self, record):
        super().__init__()
        self._record = record
        self.revision = 1
        self.objects = {}
        self._events = []
        self._changed = asyncio.Event()
        self._raw = {}
        self.waiting = {}

    def put(self, kind, name, spec):
        """Write an object."""
        self.revision += 1
        stored = {
            "metadata": {"name": name, "revision": self.revision},
            "spec": spec,
            "status": None,
        }
        self.objects.setdefault(kind, {})[name] = stored
        self._publish(kind, stored, False)
        return stored

    def put_bytes(self, kind, name, content):
        """Write an object of which the content is handed out byte for byte."""
        placeholder = f"content of {kind}/{name}"
        self._raw[json.dumps(placeholder).encode()] = content
        self.put(kind, name, placeholder)

    def remove(self, kind, name):
        """Remove an object."""
        stored = self.objects.get(kind, {}).pop(name, None)
        if stored is not None:
            self.revision += 1
            self._publish(kind, stored, True)

    def cut_watches(self):
        """Close the connections of all waiting watches; return their kinds."""
        kinds = sorted(self.waiting.values())
        for writer in list(self.waiting):
            writer.close()
        return kinds

    def _publish(self, kind, stored, removed):
        event = {"object": stored, "removed": removed}
        self._events.append((self.revision, kind, event))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def answer(self, request, writer):
        """Answer a call."""
        url = urlsplit(request.target)
        path = url.path.split("/")
        kind, name = path[3], path[4] if len(path) > 4 else None
        query = {key: each[0] for key, each in parse_qs(url.query).items()}
        if request.method == "GET" and "watch" in query:
            status, content = await self._watch(kind, query, writer)
        elif request.method == "GET":
            status, content = self._read(kind, name)
        elif request.method == "DELETE":
            self.remove(kind, name)
            status, content = 200, {}
        else:
            status, content = self._write(request, kind)
        if request.method != "GET":
            self._record.write(f"store {request.method} {url.path} -> {status}")
        body = json.dumps(content).encode()
        for placeholder, raw in self._raw.items():
            body = body.replace(placeholder, raw)
        writer.write(make_response(status, {"Store-Era": "1"}, body))
        await writer.drain()

    def _read(self, kind, name):
        found = self.objects.get(kind, {})
        if name is None:
            items = list(found.values())
            return 200, {"items": items, "has_more": False, "at": self.revision}
        return (200, found[name]) if name in found else (404, {})

    def _write(self, request, kind):
        content = json.loads(request.body)
        metadata = content["metadata"]
        known = self.objects.get(kind, {}).get(metadata["name"])
        if request.method == "POST" and known is not None:
            return 409, known
        if request.method == "PUT" and known is None:
            return 404, {}
        expected = metadata.get("revision")
        if expected and expected != known["metadata"]["revision"]:
            return 409, known
        return 200, self.put(kind, metadata["name"], content["spec"])

    async def _watch(self, kind, query, writer):
        since = int(query["watch"])
        ends_at = time.monotonic() + float(query["wait_ms"]) / 1000
        self.waiting[writer] = kind
        try:
            while True:
                events = [
                    event
                    for revision, changed, event in self._events
                    if revision > since and changed == kind
                ]
                left = ends_at - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "at": self.revision}
                try:
                    await asyncio.wait_for(self._changed.wait(), left)
                except TimeoutError:
                    pass
        finally:
            self.waiting.pop(writer, None)


class PlainReplica(Server):
    """A replica without models that runs each request for ``work_s`` seconds."""

    def __init__(self, record, replica_id, ip, work_s=0.05):
        super().__init__()
        self.record = record
        self.id = replica_id
        self.ip = ip
        self.work_s = work_s
        self.runs = []
        self.cut_runs = []

    def describe(self, state="ready"):
        """Return its entry in the store."""
        return {
            "service": "plain",
            "address": f"{self.ip}:{REPLICA_PORT}",
            "zone": "north",
            "version": "v1",
            "slots": 6,
            "state": state,
            "cold_left_ms": 0,
            "seqno": 1,
            "born": 1_700_000_000_000,
        }

    async def answer(self, request, writer):
        """Run a request, unless it is meant for another replica."""
        headers = request.headers
        request_id = headers.get("request-id", "")
        if headers.get("expect-instance", self.id) != self.id:
            fields = {"Request-Id": request_id, "Not-Run": "1"}
            writer.write(make_response(421, fields, b""))
            return
        self.record.write(f"{self.id} runs {request_id}")
        self.runs.append((request.read_at, request_id))
        try:
            await self.run(request, request_id, writer)
        except asyncio.CancelledError:
            self.cut_runs.append((request.read_at, request_id))
            raise

    async def run(self, request, request_id, writer):
        """Work, and answer with the request's id as the body."""
        await asyncio.sleep(self.work_s)
        body = request_id.encode().ljust(200, b".")
        writer.write(make_response(200, self.make_headers(request_id), body))
        await writer.drain()

    def make_headers(self, request_id):
        """Return the headers of an answer."""
        return {
            "Request-Id": request_id,
            "Response-Stamp": f"{self.id}.1",
            "Keep-Alive": "timeout=5",
        }


def make_route(name, kind, service, timeout_ms, goal_ms, max_attempts, **more):
    """Return a route under the path ``/NAME/``."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": timeout_ms,
        "goal_ms": goal_ms,
        "priority": 0,
        "service": service,
        "max_attempts": max_attempts,
        **more,
    }


def make_configuration(version, routes, engine=None):
    """Return a configuration with one tenant that has no limit."""
    services = [{"name": "plain", "max_conns": 96}]
    if engine is not None:
        services.append({"name": "engines", "max_conns": 360, "engine": engine})
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "tenants": [{"name": TEAM, "api_keys": [KEY], "rate_per_s": 0, "burst": 0}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


class Program:
    """A process of the project, started with a command of the deploy file."""

    def __init__(self, folder, name, role, ip, app=""):
        self.name, self.role, self.ip = name, role, ip
        self._settings = Path(folder, f"{name}.toml")
        self._log = Path(folder, f"{name}.log")
        self._app = app
        self._starts = 0
        self.process = None

    async def start(self):
        """Start the process."""
        is_entry = self.role == "entry"
        self._settings.write_text(
            SETTINGS.format(
                name=self.name,
                role=self.role,
                ip=self.ip,
                app=self._app,
                bootstrap="false" if self._starts else "true",
                front=f"{self.ip}:{CALLER_PORT}" if is_entry else "",
                ready=f"{self.ip}:{READY_PORT}" if is_entry else "",
                store=f"{STORE_IP}:{STORE_PORT}",
            )
        )
        self._starts += 1
        environment = {
            **os.environ,
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "BALSAMSPOKE_SETTINGS": str(self._settings),
        }
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "balsamspoke_adapter",
                self.role,
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    @property
    def is_running(self):
        """Whether the process has not exited."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        """Send a signal to the process."""
        if self.is_running:
            os.kill(self.process.pid, number)

    async def kill(self):
        """Kill the process and wait for its end."""
        if self.is_running:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    def read_log(self):
        """Return what the process wrote."""
        return self._log.read_text() if self._log.exists() else ""


@dataclass
class Outcome:
    """What a caller saw of one request; ``status`` is 0 without an answer."""

    request: str
    kind: str
    sent_at: float
    status: int = 0
    body: bytes = b""
    is_complete: bool = False
    ended_at: float = 0.0
    headers: dict = field(default_factory=dict)


async def read_response(reader, outcome):
    """Read a response into an Outcome; return whether the connection stays open."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    outcome.status = int(lines[0].split(" ")[1])
    pairs = [line.partition(":") for line in lines[1:] if line]
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    outcome.headers = headers
    if "content-length" in headers:
        outcome.body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding") == "chunked":
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            outcome.body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
    else:
        outcome.body = await reader.read()
    outcome.is_complete = True
    return headers.get("connection", "").lower() != "close"


class Caller:
    """A caller that sends one request at a time, on a connection that it keeps."""

    def __init__(self, record, ip):
        self._record = record
        self._ip = ip
        self._streams = None

    async def call(self, request_id, kind, method, headers=None, body=b"", patience=10):
        """Send a request and return its Outcome."""
        fields = {
            "Host": HOST,
            "Request-Id": request_id,
            "Authorization": f"Bearer {KEY}",
            **(headers or {}),
        }
        if body:
            fields["Content-Length"] = str(len(body))
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        data = f"{method} /{kind}/{request_id} HTTP/1.1\r\n{head}\r\n".encode() + body
        outcome = Outcome(request_id, kind, time.monotonic())
        self._record.write(f"caller sends {method} {request_id}")
        stays_open = False
        try:
            async with asyncio.timeout(patience):
                if self._streams is None:
                    self._streams = await asyncio.open_connection(
                        self._ip, CALLER_PORT, limit=2**20
                    )
                reader, writer = self._streams
                outcome.sent_at = time.monotonic()
                writer.write(data)
                stays_open = await read_response(reader, outcome)
        except (OSError, EOFError, ValueError, TimeoutError) as error:
            self._record.write(f"caller {request_id}: {error!r}")
        outcome.ended_at = time.monotonic()
        if not stays_open:
            self.close()
        self._record.write(
            f"caller gets {request_id}: {outcome.status}"
            f"{'' if outcome.is_complete else ' incomplete'}"
            f" after {outcome.ended_at - outcome.sent_at:.3f} s"
        )
        return outcome

    def close(self):
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


async def is_ready(ip, patience=1.0):
    """Return whether an entry process says that it is ready."""
    try:
        async with asyncio.timeout(patience):
            reader, writer = await asyncio.open_connection(ip, READY_PORT)
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await reader.readline()
            writer.close()
            return b" 200 " in line
    except (OSError, TimeoutError):
        return False


async def wait_until_ready(ip, patience=20.0):
    """Wait for an entry process; return whether it is ready in time."""
    ends_at = time.monotonic() + patience
    while time.monotonic() < ends_at:
        if await is_ready(ip):
            return True
        await asyncio.sleep(0.2)
    return False


def run_case(play, folder):
    """Play a case; exit with 1 if the rule was broken, 0 if it held, 2 otherwise."""
    record = Record(Path(folder, "record.txt"))
    record.write(f"disruption: {'yes' if HAS_TROUBLE else 'no'}")

    async def play_until_stopped(scratch):
        # A caller that ends the case early leaves no process behind.
        cancel = asyncio.current_task().cancel
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, cancel)
        return await play(record, scratch)

    try:
        with tempfile.TemporaryDirectory() as scratch:
            is_broken = asyncio.run(play_until_stopped(scratch))
    except (Exception, asyncio.CancelledError) as error:
        record.write(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}")
        sys.exit(2)
    verdict = "rule broken" if is_broken else "rule held"
    record.write(verdict)
    print(verdict)
    sys.exit(int(is_broken))
