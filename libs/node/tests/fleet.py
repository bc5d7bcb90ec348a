"""A deployment of entry and side process cores over fake ports in virtual time."""

import random
from dataclasses import dataclass, replace
from datetime import timedelta

import orjson
from balsamspoke_catalogue import digest_key, encode_object
from balsamspoke_fakes import (
    FakeEngine,
    FakeNetwork,
    FakePlainService,
    FakeStore,
    FakeTransport,
    FakeVmList,
    StoreState,
    VirtualClock,
    VirtualTime,
    VmListState,
)
from balsamspoke_fakes.backend import format_token
from balsamspoke_gateway.observing import Observer
from balsamspoke_limits import BudgetSettings
from balsamspoke_node import (
    CallerRequest,
    CatalogueChanged,
    EntryNode,
    EntrySettings,
    NodeIdentity,
    NodePorts,
    Responder,
    SideNode,
    SideSettings,
)
from balsamspoke_node.side import SIDE_KINDS
from balsamspoke_types.identifiers import AdapterRef, ProcessId
from balsamspoke_types.keys import format_key
from balsamspoke_types.objects import (
    CATALOGUE_KINDS,
    Adapter,
    KeyRecord,
    Kind,
    Model,
    PlainService,
    ServiceCall,
    Team,
)
from balsamspoke_types.ports import VmRecord, VmState

DOMAINS = ("carneiros", "rio-formoso", "tamandare-centro")
MODEL = "assistente-porto"
SERVICE = "balcao-reservas"
TEAMS = ("hotel", "marina")

# Few, since each group costs CPU time in each second of each entry process.
BUDGET_GROUPS = 4


def make_key(name):
    """Return the API key whose KeyRecord has a name."""
    return format_key((name + "0" * 43)[:43])


class RecordingResponder(Responder):
    """A responder that records the answer to one request.

    Attributes
    ----------
    ends : int
        Number of calls of ``end`` and ``abort``.
    is_open : bool
        Whether the answer can still be written and the caller is connected.
    """

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.ends = 0
        self.aborted = False
        self.is_open = True

    def start(self, status, headers):
        assert self.status is None, "start() called twice"
        self.status = status
        self.headers = dict(headers)

    def write(self, data):
        self.body += data

    def end(self):
        self.ends += 1
        self.is_open = False

    def abort(self):
        self.ends += 1
        self.aborted = True
        self.is_open = False

    @property
    def code(self):
        """Return the machine-readable cause of a refusal, or None."""
        error = self._find_error()
        return error["code"] if error else None

    @property
    def outcome(self):
        """Return the outcome in a refusal: not-run, unknown and so on; or None."""
        error = self._find_error()
        return error["outcome"] if error else None

    @property
    def events(self):
        """Return the server-sent events as JSON objects."""
        lines = self.body.split(b"\n\n")
        return [orjson.loads(line[6:]) for line in lines if line.startswith(b"data: {")]

    @property
    def is_whole(self):
        """Return whether the answer looks complete to the caller."""
        if self.is_open or self.aborted or self.status != 200:
            return False
        if self.headers.get("content-type") == "text/event-stream":
            return self.body.endswith(b"data: [DONE]\n\n")
        return True

    @property
    def text(self):
        """Return the generated text received so far."""
        if self.headers.get("content-type") == "text/event-stream":
            choices = [event.get("choices") for event in self.events]
            return "".join(choice[0]["text"] for choice in choices if choice)
        return orjson.loads(self.body)["choices"][0]["text"]

    def _find_error(self):
        if self.headers.get("content-type") == "text/event-stream":
            found = [event["error"] for event in self.events if "error" in event]
            return found[0] if found else None
        if self.status is None or self.status < 400 or not self.body:
            return None
        try:
            return orjson.loads(self.body)["error"]
        except (orjson.JSONDecodeError, KeyError):
            return None


class TimedEngine(FakeEngine):
    """A fake engine that records the start time of each order."""

    def __init__(self, clock, slots):
        super().__init__(clock, slots)
        self.starts = []

    def generate(self, order, sink):
        before = len(self.started)
        generation = super().generate(order, sink)
        if len(self.started) > before:
            self.starts.append((self.clock.time.elapsed, order))
        return generation


class TimedService(FakePlainService):
    """A fake plain service that records the time of each call."""

    def __init__(self, clock):
        super().__init__(clock)
        self.starts = []

    def call(self, request):
        before = len(self.calls)
        result = super().call(request)
        if len(self.calls) > before:
            self.starts.append((self.clock.time.elapsed, request))
        return result


class ChangeObserver(Observer):
    """Record the CatalogueChanged events of one process."""

    def __init__(self):
        self.changes = []

    def observe(self, event):
        if isinstance(event, CatalogueChanged):
            self.changes.append(event)


@dataclass(frozen=True)
class SentRequest:
    """A request that a caller sent, and its answer.

    Attributes
    ----------
    number : int
        Index in ``Fleet.sent``.
    at : timedelta
        Virtual time of the sending.
    entry : str
        VM of the entry process it was sent to.
    boot : int
        Number of the entry process's run on that VM.
    key : str
        Name of the KeyRecord of its key; empty without a key.
    adapter : str
        Model name in a completions request; empty for a booking.
    tokens : int
        Maximum number of tokens in a completions request.
    prompt : str
        Prompt of a completions request, which contains its number.
    idempotency_key : str
        Idempotency key of a booking; empty without one.
    """

    number: int
    at: timedelta
    entry: str
    boot: int
    key: str
    request: CallerRequest
    responder: RecordingResponder
    adapter: str = ""
    tokens: int = 0
    prompt: str = ""
    idempotency_key: str = ""

    @property
    def is_booking(self):
        return not self.adapter


class Machine:
    """A VM with its process, its backend server and its platform clients.

    Attributes
    ----------
    boots : int
        Number of runs of the process on this VM.
    started_at : timedelta
        Virtual time of the latest start.
    kinds : tuple of Kind
        Kinds of objects in the catalogue of the process.
    """

    def __init__(self, record, backend=None):
        self.record = record
        self.backend = backend
        self.clock = None
        self.node = None
        self.store = None
        self.vm_list = None
        self.boots = 0
        self.started_at = None
        is_entry = record.role == "entry"
        self.kinds = CATALOGUE_KINDS if is_entry else SIDE_KINDS

    @property
    def is_running(self):
        return self.clock is not None and not self.clock.is_killed


class Fleet:
    """The entry and side processes of a small deployment.

    Attributes
    ----------
    machines : dict of str to Machine
        VMs by id.
    sent : list of SentRequest
        All requests of callers, in order.
    changes : dict of ProcessId to list of CatalogueChanged
        Catalogue changes of each run of a process.
    written : set of tuple
        (kind, name) of all objects written to the store.
    """

    def __init__(
        self,
        seed=0,
        entries=3,
        engines=3,
        services=2,
        adapters=20,
        entry_settings=None,
        side_settings=None,
        rate=1e6,
        burst=10**7,
    ):
        self.random = random.Random(seed)
        self.time = VirtualTime()
        self.network = FakeNetwork(self.time, random.Random(seed + 1))
        self.store = StoreState()
        self.vms = VmListState(self.time)
        self.entry_settings = entry_settings or EntrySettings(
            budgets=BudgetSettings(groups=BUDGET_GROUPS)
        )
        self.side_settings = side_settings or SideSettings()
        self.machines = {}
        self.engines = []
        self.services = []
        self.sent = []
        self.changes = {}
        self.written = set()
        self._vm_count = 0
        self.fill_catalogue(adapters, rate, burst)
        for number in range(engines):
            self.add_machine("side", MODEL, number)
        for number in range(services):
            self.add_machine("side", SERVICE, number)
        for number in range(entries):
            self.add_machine("entry", "", number)
        self.publish_vms()
        for vm in list(self.machines):
            self.start(vm)

    def fill_catalogue(self, adapters, rate, burst):
        for name in TEAMS:
            self.put(Kind.TEAM, name, Team(name, rate, burst))
            self.put_key(f"{name}-key", name)
        self.put(Kind.MODEL, MODEL, Model(MODEL, adapter_slots=4, batch_size=8))
        calls = (
            ServiceCall("POST", "/bookings", False),
            ServiceCall("DELETE", "/bookings", False),
        )
        self.put(Kind.SERVICE, SERVICE, PlainService(SERVICE, TEAMS, calls))
        for number in range(adapters):
            name = f"adapter-{number}"
            team = TEAMS[number % len(TEAMS)]
            self.put(Kind.ADAPTER, name, Adapter(name, team, MODEL, 1, (1, 2)))

    def put(self, kind, name, value):
        self.written.add((kind, name))
        return self.store.put(kind, name, encode_object(value))

    def find_owner(self, adapter):
        """Return the team that owns an adapter."""
        return TEAMS[int(adapter.removeprefix("adapter-")) % len(TEAMS)]

    def put_key(self, name, team):
        record = KeyRecord(name, team, digest_key(make_key(name)))
        return self.put(Kind.KEY, name, record)

    def withdraw_key(self, name):
        return self.store.put(Kind.KEY, name, b"", deleted=True)

    def add_machine(self, role, service, number):
        self._vm_count += 1
        vm = f"{role}-{service or 'x'}-{number}-{self._vm_count}"
        domain = DOMAINS[number % len(DOMAINS)]
        record = VmRecord(vm, f"10.0.0.{self._vm_count}:1", "r1", domain, role, service)
        backend = None
        if service == MODEL:
            backend = TimedEngine(VirtualClock(self.time), slots=4)
            self.engines.append(backend)
        elif service == SERVICE:
            backend = TimedService(VirtualClock(self.time))
            self.services.append(backend)
        self.machines[vm] = Machine(record, backend)
        return vm

    def publish_vms(self):
        """Set the VM list to the existing VMs."""
        self.vms.set([machine.record for machine in self.machines.values()])

    def entries(self):
        return self._find("entry", "")

    def sides(self, service=MODEL):
        return self._find("side", service)

    def _find(self, role, service):
        return [
            vm
            for vm, machine in self.machines.items()
            if machine.record.role == role and machine.record.service == service
        ]

    def start(self, vm):
        """Start a new run of the process on a VM, with no state of earlier runs."""
        machine = self.machines[vm]
        machine.boots += 1
        machine.started_at = self.time.elapsed
        process = ProcessId(vm, machine.boots)
        observer = ChangeObserver()
        self.changes[process] = observer.changes
        machine.clock = clock = VirtualClock(self.time)
        source = random.Random(self.random.random())
        machine.store = FakeStore(self.store, clock, random.Random(source.random()))
        machine.vm_list = FakeVmList(self.vms, clock)
        transport = FakeTransport(self.network, process, clock)
        record = machine.record
        identity = NodeIdentity(vm, "r1", record.failure_domain, record.service)
        ports = NodePorts(
            process,
            identity,
            clock,
            source,
            machine.store,
            machine.vm_list,
            transport,
        )
        if record.role == "entry":
            machine.node = EntryNode(
                ports, settings=self.entry_settings, observer=observer
            )
        else:
            machine.backend.clock = clock
            is_engine = record.service == MODEL
            machine.node = SideNode(
                ports,
                engine=machine.backend if is_engine else None,
                service=None if is_engine else machine.backend,
                fencing=machine.boots,
                settings=self.side_settings,
                observer=observer,
            )
        machine.node.start()
        return machine.node

    def kill(self, vm):
        self.machines[vm].clock.kill()

    def restart(self, vm):
        self.kill(vm)
        return self.start(vm)

    def remove_machine(self, vm):
        """Remove a failed VM; it stays in the VM list until ``publish_vms``."""
        self.kill(vm)
        machine = self.machines.pop(vm)
        if machine.backend is not None and hasattr(machine.backend, "restart"):
            machine.backend.up = False
            machine.backend.restart()
        return machine

    def mark_leaving(self, vm):
        """Mark a VM as leaving in the VM list."""
        machine = self.machines[vm]
        machine.record = replace(machine.record, state=VmState.LEAVING)
        self.publish_vms()

    def node(self, vm):
        return self.machines[vm].node

    def advance(self, seconds):
        self.time.advance(timedelta(seconds=seconds))

    def settle(self, seconds=15):
        """Advance time until the processes of a new fleet are connected and ready."""
        self.advance(seconds)

    def send(self, entry, key, request, **details):
        """Send a caller's request to an entry process."""
        responder = RecordingResponder()
        machine = self.machines[entry]
        number = len(self.sent)
        self.sent.append(
            SentRequest(
                number,
                self.time.elapsed,
                entry,
                machine.boots,
                key,
                request,
                responder,
                **details,
            )
        )
        if machine.is_running and not machine.clock.is_paused:
            responder.exchange = machine.node.handle(request, responder)
        return responder

    def complete(
        self, entry, adapter="adapter-0", key="hotel-key", tokens=5, stream=True
    ):
        """Send a completions request whose prompt contains its number."""
        prompt = f"request-{len(self.sent)}."
        body = {"model": adapter, "prompt": prompt, "max_tokens": tokens}
        body["stream"] = stream
        headers = (("authorization", f"Bearer {make_key(key)}"),) if key else ()
        request = CallerRequest("POST", "/v1/completions", headers, orjson.dumps(body))
        details = {"adapter": adapter, "tokens": tokens, "prompt": prompt}
        return self.send(entry, key, request, **details)

    def book(self, entry, key="hotel-key", idempotency_key="", body=b""):
        """Send a booking, a non-idempotent call; by default its body is its number."""
        body = body or b"booking-%d." % len(self.sent)
        headers = [("authorization", f"Bearer {make_key(key)}")]
        if idempotency_key:
            headers.append(("idempotency-key", idempotency_key))
        path = f"/services/{SERVICE}/bookings"
        request = CallerRequest("POST", path, tuple(headers), body)
        return self.send(entry, key, request, idempotency_key=idempotency_key)


def get_expected_text(adapter, version, tokens, prompt):
    """Return the complete text of the correct answer."""
    body = orjson.dumps({"prompt": prompt})
    ref = AdapterRef(adapter, version)
    return "".join(format_token(ref, body, number) for number in range(tokens))
