"""Replicas that serve a model and its adapters, with a side process beside each."""

import asyncio
import contextlib
import json
import os
import sys
import time
from pathlib import Path

from deployment import (
    CONNECTION_ENDS,
    HEARTBEAT_SECONDS,
    REPLICA_PORT,
    ROOT,
    SETTINGS,
    STORE_PORT,
    keep,
    make_answer,
    read_message,
)

MODEL = "base"
MODEL_LOAD_SECONDS = 1.0
ADAPTER_LOAD_SECONDS = 0.25
RESTART_SECONDS = 2.0
EVENTS = 14
EVENT_SECONDS = 0.03


class EngineLimits:
    """Memory and places of an engine, as its service's configuration states them."""

    def __init__(self, weights_mb, model_mb, adapter_mb, adapter_slots):
        self.weights_mb = weights_mb
        self.model_mb = model_mb
        self.adapter_mb = adapter_mb
        self.adapter_slots = adapter_slots

    def make_service(self, name):
        """Return the service of the configuration."""
        model = {
            "name": MODEL,
            "weights_mb": self.model_mb,
            "load_s": 2.5,
            "disk_s": MODEL_LOAD_SECONDS,
            "warm_s": 0.38,
            "adapters": 3000,
            "adapter_size_mb": self.adapter_mb,
        }
        engine = {
            "slots": 64,
            "models": [model],
            "weights_mb": self.weights_mb,
            "adapter_slots": self.adapter_slots,
            "loads_per_s": 2.6,
        }
        return {"name": name, "max_conns": 360, "engine": engine}


class Engine:
    """A model replica; it crashes if it is ordered to load more than it holds.

    Attributes
    ----------
    runs : list
        Request ids and the event ids after which they began.
    overloads : list
        Texts on orders beyond the limits.
    running : int
        Streams that it writes now.
    software_version : str
        Version of its software.
    """

    def __init__(self, record, store, replica_id, service, ip, zone, limits):
        self._record = record
        self._store = store
        self._base_id = self.id = replica_id
        self._service = service
        self.ip = ip
        self._zone = zone
        self._limits = limits
        self._starts = 0
        self._server = None
        self._writers = set()
        self.runs = []
        self.overloads = []
        self.running = 0
        self.software_version = "1"
        self._reset()

    def _reset(self):
        self._starts += 1
        self.id = f"{self._base_id}-{self._starts}"
        self._born = int(time.time() * 1000)
        self._has_model = self._starts == 1
        self._adapters = {}
        self._pending = {}
        self._orders = 0
        self._is_busy = False

    async def start(self):
        """Listen, and write the entry at each heartbeat."""
        await self._listen()
        keep(self._beat())

    async def _listen(self):
        self._server = await asyncio.start_server(self._serve, self.ip, REPLICA_PORT)

    async def _beat(self):
        while True:
            if self._server is not None:
                self._store.put("servers", self.id, self._describe())
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def _describe(self):
        return {
            "service": self._service,
            "address": f"{self.ip}:{REPLICA_PORT}",
            "zone": self._zone,
            "version": self.software_version,
            "slots": 64,
            "state": "ready",
            "cold_left_ms": 0,
            "born": self._born,
            "seqno": self._orders,
            "models": self._list_models(),
        }

    def _list_models(self):
        if not self._has_model:
            return []
        adapters = [f"{name}@{self._adapters[name]}" for name in self._adapters]
        return [{"name": MODEL, "version": 1, "adapters": adapters}]

    def crash(self, reason):
        """Reset all connections, and start again empty after some seconds."""
        self._record.add(f"{self.id} crashes: {reason}")
        server, self._server = self._server, None
        server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self._store.remove("servers", self.id)
        keep(self._restart())

    async def _restart(self):
        await asyncio.sleep(RESTART_SECONDS)
        self._reset()
        await self._listen()
        self._store.put("servers", self.id, self._describe())
        self._record.add(f"{self.id} has started")

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with contextlib.suppress(*CONNECTION_ENDS):
            while True:
                first, headers, body = await read_message(reader)
                await self._answer(writer, first, headers, body)
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, writer, first, headers, body):
        target = first.split(" ")[1]
        if target == "/-/report":
            writer.write(self._make_json(200, self._make_report()))
        elif target == "/-/order":
            writer.write(self._make_json(self._take_order(json.loads(body)), {}))
        else:
            await self._run(writer, headers)

    @staticmethod
    def _make_json(status, content):
        fields = {"Content-Type": "application/json"}
        return make_answer(status, fields, json.dumps(content).encode())

    def _make_report(self):
        pending = [f"{MODEL}/{name}@{self._pending[name]}" for name in self._pending]
        return {
            "stage": "colocated",
            "models": self._list_models(),
            "busy": self._is_busy,
            "seqno": self._orders,
            "queued": 0,
            "running": 0,
            "kv_used": 0,
            "kv_total": 249163,
            "handles": 0,
            "pending": pending,
            "born": self._born,
        }

    def _take_order(self, order):
        self._record.add(f"{self.id} gets the order {order}")
        if self._is_busy or order.get("precondition", self._orders) != self._orders:
            return 409
        adapter, version = order.get("adapter"), order.get("version", 1)
        if adapter is None:
            self._orders += 1
            self._is_busy = True
            keep(self._load_model(self._born))
            return 202
        if not self._has_model:
            return 400
        if order["operation"] == "unload":
            self._orders += 1
            self._adapters.pop(adapter, None)
            return 200
        if self._adapters.get(adapter, -1) >= version:
            return 200
        self._orders += 1
        self._pending[adapter] = version
        self._check_limits()
        keep(self._load_adapter(adapter, self._born))
        return 202

    def _check_limits(self):
        limits = self._limits
        count = len({*self._adapters, *self._pending})
        megabytes = limits.model_mb + count * limits.adapter_mb
        if count > limits.adapter_slots or megabytes > limits.weights_mb:
            text = (
                f"{self.id} ordered to load {count} adapters, {megabytes} MB with the "
                f"model; it holds {limits.adapter_slots} and {limits.weights_mb} MB"
            )
            self.overloads.append(text)
            self._record.add(f"LIMIT {text}")
            self.crash("more than it holds")

    async def _load_model(self, born):
        await asyncio.sleep(MODEL_LOAD_SECONDS)
        if born == self._born:
            self._has_model = True
            self._is_busy = False

    async def _load_adapter(self, adapter, born):
        await asyncio.sleep(ADAPTER_LOAD_SECONDS)
        if born == self._born and self._server is not None:
            self._adapters[adapter] = self._pending.pop(adapter)

    async def _run(self, writer, headers):
        request = headers.get("request-id", "")
        fields = {"Request-Id": request, "Instance-Id": self.id}
        adapter = headers["model"].partition("/")[2]
        version = headers.get("expect-version")
        held = self._adapters.get(adapter)
        is_wrong = version is not None and str(held) != version
        is_other = headers.get("expect-instance", self.id) != self.id
        if is_other or held is None or is_wrong:
            writer.write(make_answer(421, {**fields, "Not-Run": "1"}, b""))
            return
        after = int(headers.get("last-event-id", "0"))
        self.running += 1
        try:
            await self._stream(writer, request, after)
        finally:
            self.running -= 1

    async def _stream(self, writer, request, after):
        self.runs.append((request, after))
        self._record.add(f"{self.id} runs {request} after event {after}")
        lines = [
            "HTTP/1.1 200 OK",
            f"Request-Id: {request}",
            f"Instance-Id: {self.id}",
            f"Response-Stamp: stamp.{self.id}.{request}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        for number in range(after + 1, EVENTS + 1):
            await asyncio.sleep(EVENT_SECONDS)
            event = f"id: {number}\ndata: {request} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


class Side:
    """A side process, started with the command of the deploy file."""

    def __init__(self, folder, engine, service, zone, store_ip):
        name = f"side-{engine.ip}"
        self._settings = Path(folder, f"{name}.toml")
        self._log = Path(folder, f"{name}.log")
        text = SETTINGS.format(
            name=name,
            ip=engine.ip,
            zone=zone,
            bootstrap="true",
            store=f"{store_ip}:{STORE_PORT}",
        )
        head = f'app = "{engine.ip}:{REPLICA_PORT}"\nservice = "{service}"\n'
        text = text.replace('role = "entry"', 'role = "side"')
        text = text.replace("[listen]", f"{head}[listen]")
        lines = [each for each in text.splitlines() if not each.startswith("front =")]
        lines = [each for each in lines if not each.startswith("ready =")]
        self._settings.write_text("\n".join(lines))
        self.process = None

    async def start(self):
        """Start the process."""
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "balsamspoke_adapter",
                "side",
                cwd=ROOT,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "BALSAMSPOKE_SETTINGS": str(self._settings),
                },
                stdout=log,
                stderr=log,
            )

    async def stop(self):
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def read_log(self):
        """Return the output of the process."""
        return self._log.read_text(errors="replace") if self._log.exists() else ""
