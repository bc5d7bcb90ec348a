"""Stand-ins of replicas of a service without models."""

import asyncio
import time

from .deployment import REPLICA_PORT
from .http import Server, format_answer

WORK_SECONDS = 0.02
SLOTS = 6


class PlainReplica(Server):
    """A sound replica that answers each request after a short time.

    Parameters
    ----------
    replica_id : str
        Id under which it registers.
    ip : str
        Address of its machine.
    record : Record
        Receives each run.
    body_bytes : int
        Size of an answer's body.

    Attributes
    ----------
    runs : list of tuple
        Request id and monotonic time of each run.
    """

    def __init__(self, replica_id, ip, record, body_bytes=800):
        super().__init__()
        self.id = replica_id
        self.ip = ip
        self.runs = []
        self._record = record
        self._body = b"x" * body_bytes
        self._born = int(time.time() * 1000)

    def describe(self, service, state="ready"):
        """Return the content of its entry in the store."""
        return {
            "service": service,
            "address": f"{self.ip}:{REPLICA_PORT}",
            "zone": "a",
            "version": "1",
            "slots": SLOTS,
            "state": state,
            "cold_left_ms": 0,
            "seqno": 1,
            "born": self._born,
            "models": [],
        }

    async def start(self):
        """Accept connections."""
        await self.listen(self.ip, REPLICA_PORT)

    async def answer(self, request, reader, writer):
        """Run a request, and answer it."""
        request_id = request.headers.get("request-id", "")
        if request.headers.get("expect-instance", self.id) != self.id:
            writer.write(format_answer(421, headers=[("Request-Id", request_id)]))
            return True
        self.runs.append((request_id, time.monotonic()))
        self._record.write(f"{self.id} runs {request_id}")
        await asyncio.sleep(WORK_SECONDS)
        headers = [
            ("Request-Id", request_id),
            ("Response-Stamp", f"{self.id}.{request_id}"),
            ("Server-Load", f"1,0,{SLOTS}"),
        ]
        writer.write(format_answer(200, self._body, headers))
        await writer.drain()
        return True
