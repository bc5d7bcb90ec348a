"""Stand-in of a model replica with adapters, and of the traffic that it serves."""

import asyncio
import json
import time

from harness import (
    NETWORK,
    REPLICA_PORT,
    STORE_IP,
    STORE_PORT,
    Caller,
    Program,
    Server,
    Store,
    make_configuration,
    make_response,
    make_route,
    wait_until_ready,
)

MODEL = "base"
SLOTS = 4
MODEL_LOAD_S = 0.4
ADAPTER_LOAD_S = 0.25
EVENTS = 5
EVENT_INTERVAL_S = 0.03
CALM_S = 3.5
ENGINE = {
    "models": [
        {"name": MODEL, "weights_mb": 10.0, "disk_s": MODEL_LOAD_S, "load_s": 0.4}
    ],
    "weights_mb": 20.0,
    "adapter_slots": SLOTS,
    "slots": 16,
}


class EngineReplica(Server):
    """A model replica that carries out orders as the pages say.

    Attributes
    ----------
    lose_order : callable
        Called with each order that is accepted; returns the seconds after which it is
        carried out without an answer, or None to carry it out now and answer.
    first_id : int
        Id of the first event of each stream; the others count on from it.
    events : int
        Number of events of a stream.
    event_interval_s : float
        Time between two of them.
    """

    def __init__(self, record, replica_id, ip):
        super().__init__()
        self.record = record
        self.id = replica_id
        self.ip = ip
        self.born = 1_700_000_000_000
        self.models = {MODEL: {}}
        self.pending = {}
        self.seqno = 0
        self.is_busy = False
        self.newest = {}
        self.overflows = 0
        self.first_id = 1
        self.events = EVENTS
        self.event_interval_s = EVENT_INTERVAL_S
        self.lose_order = lambda order: None

    def describe(self):
        """Return its entry in the store."""
        return {
            "service": "engines",
            "address": f"{self.ip}:{REPLICA_PORT}",
            "zone": "north",
            "version": "v1",
            "slots": 16,
            "state": "ready",
            "cold_left_ms": 0,
            "seqno": self.seqno,
            "born": self.born,
            "models": self._list_models(),
        }

    def _list_models(self):
        return [
            {
                "name": name,
                "version": 1,
                "adapters": [f"{each}@{version}" for each, version in adapters.items()],
            }
            for name, adapters in self.models.items()
        ]

    def crash(self):
        """Refuse connections, reset the open ones, and forget all."""
        self.record.write(f"{self.id} crashes")
        self.close()
        self.models, self.pending = {}, {}
        self.seqno, self.is_busy = 0, False

    async def start_again(self):
        """Listen again, empty, as a later start."""
        self.born += 10_000
        await self.listen(self.ip, REPLICA_PORT)
        self.record.write(f"{self.id} is back, empty")

    async def answer(self, request, writer):
        """Answer a report, an order or a request."""
        if request.target == "/-/report":
            body = json.dumps(self._make_report()).encode()
            writer.write(make_response(200, {}, body))
        elif request.target == "/-/order":
            await self._receive_order(json.loads(request.body), writer)
        else:
            await self._serve_request(request, writer)
        await writer.drain()

    def _make_report(self):
        return {
            "stage": "colocated",
            "models": self._list_models(),
            "busy": self.is_busy,
            "seqno": self.seqno,
            "queued": 0,
            "running": 0,
            "born": self.born,
            "pending": [f"{MODEL}/{name}@{v}" for name, v in self.pending.items()],
        }

    async def _receive_order(self, order, writer):
        if order.get("precondition", self.seqno) != self.seqno or self.is_busy:
            self.record.write(f"{self.id} refuses {self._name(order)}: 409")
            writer.write(make_response(409, {}, b"{}"))
            return
        delay = self.lose_order(order)
        if delay is None:
            self._carry_out(order)
            writer.write(make_response(202, {}, b"{}"))
            return
        self.record.write(
            f"{self.id} leaves {self._name(order)} unanswered for {delay} s"
        )
        asyncio.get_running_loop().call_later(delay, self._carry_out_late, order)
        # A connection on which an answer is lost returns nothing further.
        await asyncio.sleep(60)

    def _carry_out_late(self, order):
        if order["precondition"] != self.seqno or self.is_busy:
            self.record.write(f"{self.id} refuses, late, {self._name(order)}")
            return
        self.record.write(f"{self.id} carries out, late, {self._name(order)}")
        self._carry_out(order)

    def _carry_out(self, order):
        self.seqno += 1
        loop = asyncio.get_running_loop()
        name, born = order.get("adapter"), self.born
        adapters = self.models.get(MODEL, {})
        if name is None:
            self.is_busy = True
            loop.call_later(MODEL_LOAD_S, self._finish_model, born)
        elif order["operation"] == "unload":
            adapters.pop(name, None)
        else:
            version = order.get("version") or self.newest.get(name, 1)
            self.pending[name] = version
            loop.call_later(ADAPTER_LOAD_S, self._finish_adapter, name, version, born)
        held = sorted({*self.models.get(MODEL, {}), *self.pending})
        self.record.write(f"{self.id} carries out {self._name(order)}: {held}")
        if len(held) > SLOTS:
            self.overflows += 1
            self.record.write(f"{self.id} was ordered to hold {len(held)} adapters")
            self.crash()

    def _finish_model(self, born):
        if born == self.born:
            self.is_busy = False
            self.models[MODEL] = {}

    def _finish_adapter(self, name, version, born):
        if born == self.born and self.pending.get(name) == version:
            del self.pending[name]
            self.models[MODEL][name] = version

    @staticmethod
    def _name(order):
        what = order.get("adapter") or order["model"]
        return (
            f"{order['operation']} {what} version {order.get('version', 'newest')} "
            f"at {order.get('precondition')}"
        )

    async def _serve_request(self, request, writer):
        headers = request.headers
        request_id = headers.get("request-id", "")
        adapter = headers.get("model", "").partition("/")[2]
        held = self.models.get(MODEL, {}).get(adapter)
        expected = headers.get("expect-version")
        is_wrong = MODEL not in self.models or expected not in (None, str(held))
        is_wrong = is_wrong or (adapter and held is None)
        if is_wrong or headers.get("expect-instance", self.id) != self.id:
            fields = {"Request-Id": request_id, "Not-Run": "1"}
            writer.write(make_response(421, fields, b""))
            return
        self.record.write(f"{self.id} runs {request_id} on {adapter}@{held}")
        head = (
            f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
            f"Response-Stamp: {self.id}.1\r\nContent-Type: text/event-stream\r\n"
            f"Transfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(head.encode())
        last_id = int(headers.get("last-event-id", self.first_id - 1))
        for number in range(last_id + 1, self.first_id + self.events):
            event = f"id: {number}\ndata: {request_id} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.event_interval_s)
        writer.write(b"0\r\n\r\n")


class EngineDeployment:
    """Entry processes, and model replicas with their side processes.

    Attributes
    ----------
    replica : EngineReplica
        The first replica, to which a case's disruption happens.
    adapters : tuple of str
        Adapters that the callers ask for; empty for no requests.
    """

    def __init__(self, record, scratch, entries=1, replicas=1):
        self.record = record
        self.store = Store(record)
        numbers = range(1, replicas + 1)
        ips = {number: f"{NETWORK}.2.{number}" for number in numbers}
        self.replicas = [
            EngineReplica(record, f"e-{number}", ip) for number, ip in ips.items()
        ]
        self.replica = self.replicas[0]
        self.entries = [
            Program(scratch, f"entry-{number}", "entry", f"{NETWORK}.1.{number}")
            for number in range(1, entries + 1)
        ]
        self.sides = [
            Program(scratch, f"side-{number}", "side", ip, f"{ip}:{REPLICA_PORT}")
            for number, ip in ips.items()
        ]
        self.adapters = ()
        self.outcomes = []
        self._count = 0

    async def start(self):
        """Start everything, and wait until the entry process is ready."""
        await self.store.listen(STORE_IP, STORE_PORT)
        talk = make_route(
            "talk", "streaming", "engines", 5000, 600, 2, resumable=True, sticky=True
        )
        self.store.put("config", "main", make_configuration(1, [talk], ENGINE))
        for replica in self.replicas:
            await replica.listen(replica.ip, REPLICA_PORT)
            self.store.put("servers", replica.id, replica.describe())
        for side in self.sides:
            await side.start()
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
        for side in self.sides:
            await side.kill()
        for replica in self.replicas:
            replica.close()
        self.store.close()
        await asyncio.sleep(0.1)

    def write_entry(self):
        """Write the first replica's entry in the store, as it does itself."""
        self.store.put("servers", self.replica.id, self.replica.describe())

    def announce(self, adapter, version):
        """Announce a version of an adapter, as the operator does."""
        self.record.write(f"the operator announces {adapter}@{version}")
        for replica in self.replicas:
            replica.newest[adapter] = version
        spec = {"model": MODEL, "adapter": adapter, "version": version}
        self.store.put("versions", f"{MODEL}.{adapter}", spec)

    async def send_traffic(self, seconds, per_second):
        """Send requests for ``adapters`` in turn, and wait for their ends."""
        tasks = []
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            if self.adapters:
                tasks.append(asyncio.create_task(self._send_one()))
            await asyncio.sleep(1 / per_second)
        await asyncio.gather(*tasks)

    async def _send_one(self):
        self._count += 1
        number = self._count
        adapter = self.adapters[number % len(self.adapters)]
        caller = Caller(self.record, self.entries[0].ip)
        headers = {
            "Deadline-Ms": "5000",
            "Model": f"{MODEL}/{adapter}",
            "Token-Count": "100,20",
            "Prompt-Prefix": f"5c1e:60,{number:x}:40",
        }
        body = f"prompt {number}".encode()
        request_id = f"r{number}"
        outcome = await caller.call(request_id, "talk", "POST", headers, body, 5.0)
        self.outcomes.append(outcome)
        caller.close()

    def count_statuses(self):
        """Return how the requests ended, as text."""
        counts = {}
        for each in self.outcomes:
            status = each.status if each.is_complete or not each.status else "cut"
            counts[status] = counts.get(status, 0) + 1
        return ", ".join(f"{key}: {counts[key]}" for key in sorted(counts, key=str))
