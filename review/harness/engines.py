"""Stand-in of a model replica: reports, orders and streams of events."""

import asyncio
import json
import time

from .deployment import REPLICA_PORT
from .http import Server, format_answer, format_json, reset

MODEL = "m0"
ADAPTERS = [f"a{number}" for number in range(1, 9)]
SLOTS = 64
EVENTS = 14
# Time from a crash until the replica is back.
DOWN_SECONDS = 2.5
EVENT_SECONDS = 0.05
# Configuration of the service: one base model and the capacity of each replica.
ENGINE = {
    "models": [
        {"name": MODEL, "weights_mb": 65100.0, "load_s": 2.5, "disk_s": 1.0},
    ],
    "weights_mb": 66600.0,
    "adapter_slots": 16,
    "slots": SLOTS,
}


class EngineReplica(Server):
    """A sound model replica that holds its model and all adapters.

    Parameters
    ----------
    replica_id : str
        Id under which it registers.
    ip : str
        Address of its machine.
    zone : str
        Zone of its machine.
    record : Record
        Receives each run.
    first_event_seconds : float
        Time from a request to the first event of its stream.

    Attributes
    ----------
    runs : list of tuple
        Request id and monotonic time of each run.
    running : int
        Requests that run.
    deadly_part : str
        Id of a prompt part that crashes the replica as it begins to answer.
    on_deadly : callable
        Called with this replica when such a part crashes it.
    """

    def __init__(self, replica_id, ip, zone, record, first_event_seconds):
        super().__init__()
        self.id = replica_id
        self.ip = ip
        self.zone = zone
        self.runs = []
        self.running = 0
        self._record = record
        self._first_event_seconds = first_event_seconds
        self._born = int(time.time() * 1000)
        self._orders = 0
        self.deadly_part = None
        self.on_deadly = None

    def _describe_models(self):
        adapters = [f"{name}@1" for name in ADAPTERS]
        return [{"name": MODEL, "version": 1, "adapters": adapters}]

    def describe(self, service):
        """Return the content of its entry in the store."""
        return {
            "service": service,
            "address": f"{self.ip}:{REPLICA_PORT}",
            "zone": self.zone,
            "version": "1",
            "slots": SLOTS,
            "state": "ready",
            "cold_left_ms": 0,
            "seqno": self._orders,
            "born": self._born,
            "stage": "colocated",
            "models": self._describe_models(),
        }

    async def start(self):
        """Accept connections."""
        await self.listen(self.ip, REPLICA_PORT)

    def crash(self):
        """Reset all connections, and refuse new ones."""
        self.close()

    async def start_again(self, replica_id):
        """Start again under another id."""
        self.id = replica_id
        self._born = int(time.time() * 1000)
        self._orders = 0
        await self.start()

    async def answer(self, request, reader, writer):
        """Answer a request, a report or an order."""
        if request.path == "/-/report":
            writer.write(format_json(200, self._make_report()))
            return True
        if request.path == "/-/order":
            self._orders += 1
            json.loads(request.body)
            writer.write(format_json(202, {}))
            return True
        request_id = request.headers.get("request-id", "")
        if request.headers.get("expect-instance", self.id) != self.id:
            writer.write(format_answer(421, headers=[("Request-Id", request_id)]))
            return True
        self.runs.append((request_id, time.monotonic()))
        self._record.write(f"{self.id} runs {request_id}")
        self.running += 1
        parts = request.headers.get("prompt-prefix", "").split(",")[:-1]
        is_deadly = self.deadly_part in [each.partition(":")[0] for each in parts]
        try:
            await asyncio.sleep(self._first_event_seconds)
            if is_deadly:
                self._record.write(f"{self.id} crashes on {request_id}")
                self.on_deadly(self)
                return False
            await self._stream(request_id, writer)
        finally:
            self.running -= 1
        return True

    def _make_report(self):
        return {
            "born": self._born,
            "stage": "colocated",
            "models": self._describe_models(),
            "busy": False,
            "seqno": self._orders,
            "queued": 0,
            "running": self.running,
            "kv_used": 0,
            "kv_total": 249163,
            "handles": 0,
            "pending": [],
        }

    async def _stream(self, request_id, writer):
        head = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            f"Request-Id: {request_id}",
            f"Response-Stamp: {self.id}.{request_id}",
            "Weight-Versions: 1",
            "",
            "",
        ]
        writer.write("\r\n".join(head).encode())
        for number in range(1, EVENTS + 1):
            event = f"id: {number}\ndata: {'y' * 40}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_SECONDS)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


def crash_all(replicas):
    """Crash replicas at the same moment."""
    for replica in replicas:
        for writer in list(replica.writers):
            reset(writer)
        replica.crash()
