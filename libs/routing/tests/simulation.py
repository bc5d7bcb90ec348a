"""Simulation of entry processes and fake side processes under a virtual clock."""

import random
from datetime import timedelta

from balsamspoke_fakes import (
    FakeNetwork,
    FakeStore,
    FakeTransport,
    StoreState,
    VirtualClock,
    VirtualTime,
)
from balsamspoke_fakes.backend import format_token
from balsamspoke_routing import (
    AttemptRunner,
    CallRequest,
    GenerationRequest,
    IdempotencyLedger,
    ReplicaDirectory,
)
from balsamspoke_types.identifiers import AdapterRef, ProcessId
from balsamspoke_types.messages import (
    AttemptFailed,
    AttemptFenced,
    AttemptRefused,
    CallService,
    CancelAttempt,
    CreditTokens,
    FenceAttempt,
    GenerationFinished,
    ServiceAnswered,
    TokenChunk,
    TokensProduced,
)
from balsamspoke_types.outcomes import Cause
from balsamspoke_types.ports import (
    PeerHandler,
    ServiceRequest,
    ServiceResponse,
    VmRecord,
)

from tests.checkers import HandOver, Trace

ADAPTER = AdapterRef("a", 1)
MODEL = "kotoba"
SERVICE = "tsuki"
STEP_DELAY = timedelta(milliseconds=20)


class FakeSideProcess(PeerHandler):
    """A side process with a backend server that records each run in hand_overs.

    Attributes
    ----------
    is_busy : bool
        Whether new attempts are refused as overloaded.
    has_lossy_backend : bool
        Whether calls run but their answers are lost.
    """

    def __init__(self, simulation, vm, service):
        self.simulation = simulation
        self.vm = vm
        self.service = service
        self.is_busy = False
        self.has_lossy_backend = False
        self.restart()

    def restart(self):
        if hasattr(self, "clock"):
            self.clock.kill()
        self.process = ProcessId(self.vm, self.simulation.allocate_boot())
        self.clock = VirtualClock(self.simulation.time)
        self.transport = FakeTransport(
            self.simulation.network, self.process, self.clock
        )
        self.transport.bind(self)
        self.queued, self.running, self.handed_over, self.fenced = {}, {}, set(), set()

    def peer_connected(self, peer):
        pass

    def peer_disconnected(self, peer):
        pass

    def peer_message(self, peer, message):
        handler = getattr(self, f"handle_{type(message).__name__}", None)
        if handler is not None:
            handler(peer, message)

    def handle_RunGeneration(self, peer, message):
        self._handle_attempt(peer, message)

    def handle_CallService(self, peer, message):
        self._handle_attempt(peer, message)

    def _handle_attempt(self, peer, message):
        attempt = message.attempt
        if attempt in self.handed_over or attempt in self.queued:
            return
        if self.is_busy or attempt in self.fenced:
            self.fenced.add(attempt)
            self._send(peer, AttemptRefused(attempt, Cause.OVERLOADED))
            return
        self.queued[attempt] = peer
        wait = STEP_DELAY * self.simulation.random.random() * 3
        self.clock.call_later(wait, self._hand_over, peer, message)

    def _hand_over(self, peer, message):
        attempt = message.attempt
        if self.queued.pop(attempt, None) is None:
            return
        self.handed_over.add(attempt)
        if isinstance(message, CallService):
            self._call(peer, message)
            return
        self.simulation.hand_overs.append(HandOver(message.request, attempt))
        self.running[attempt] = [peer, message, message.resume_offset, message.credit]
        self._produce(attempt)

    def _call(self, peer, message):
        key = dict(message.call.headers).get("idempotency-key", "")
        answer = b"%d" % len(self.simulation.hand_overs)
        self.simulation.hand_overs.append(
            HandOver(message.request, message.attempt, key, message.idempotent, answer)
        )
        reply = ServiceAnswered(message.attempt, ServiceResponse(200, (), answer))
        if not self.has_lossy_backend:
            self.clock.call_later(STEP_DELAY * 2, self._send, peer, reply)
        else:
            reply = AttemptFailed(message.attempt, Cause.BACKEND_LOST)
            self.clock.call_later(STEP_DELAY * 2, self._send, peer, reply)

    def _produce(self, attempt):
        if attempt not in self.running:
            return
        peer, message, offset, credit = self.running[attempt]
        if offset >= message.max_tokens:
            del self.running[attempt]
            self._send(peer, GenerationFinished(attempt, offset, "length"))
            return
        count = min(self.simulation.random.randint(1, 3), message.max_tokens - offset)
        if credit >= count:
            text = "".join(
                format_token(message.adapter, message.body, number)
                for number in range(offset, offset + count)
            )
            chunk = TokenChunk(attempt, offset, text, count)
            self._send(peer, TokensProduced((chunk,)))
            self.running[attempt][2:] = [offset + count, credit - count]
        self.clock.call_later(STEP_DELAY, self._produce, attempt)

    def fail_running(self):
        for attempt, (peer, *_) in list(self.running.items()):
            del self.running[attempt]
            self._send(peer, AttemptFailed(attempt, Cause.BACKEND_LOST))

    def handle_CreditTokens(self, peer, message: CreditTokens):
        if message.attempt in self.running:
            self.running[message.attempt][3] += message.count

    def handle_CancelAttempt(self, peer, message: CancelAttempt):
        self.running.pop(message.attempt, None)
        if self.queued.pop(message.attempt, None):
            self.fenced.add(message.attempt)

    def handle_FenceAttempt(self, peer, message: FenceAttempt):
        attempt = message.attempt
        handed_over = attempt in self.handed_over
        if not handed_over:
            self.fenced.add(attempt)
            sender = self.queued.pop(attempt, None)
            if sender is not None:
                self._send(sender, AttemptRefused(attempt, Cause.OVERLOADED))
        self._send(peer, AttemptFenced(attempt, handed_over))

    def _send(self, peer, message):
        self.transport.send(peer, message)


class SimulatedEntry(PeerHandler):
    """An entry process with an attempt runner, a directory and a ledger."""

    def __init__(self, simulation, vm):
        self.simulation = simulation
        self.vm = vm
        self.restart()

    def restart(self):
        simulation = self.simulation
        if hasattr(self, "clock"):
            self.clock.kill()
            for trace in simulation.traces:
                trace.may_lack_end |= trace.entry is self.process
        self.process = ProcessId(self.vm, simulation.allocate_boot())
        self.clock = VirtualClock(simulation.time)
        self.transport = FakeTransport(simulation.network, self.process, self.clock)
        self.transport.bind(self)
        random_source = random.Random(self.process.boot)
        self.store = FakeStore(simulation.store_state, self.clock, random_source)
        self.directory = ReplicaDirectory(self.clock, random_source)
        self.ledger = IdempotencyLedger(
            self.process, self.clock, self.store, random_source
        )
        self.runner = AttemptRunner(
            self.process,
            self.clock,
            random_source,
            self.transport.send,
            self.directory,
            self.ledger,
            lambda record, version: simulation.is_key_valid,
            simulation.settings,
        )
        for side in simulation.side_processes:
            record = VmRecord(side.vm, "", "", "", "side")
            self.transport.connect(record)

    def peer_connected(self, peer):
        side = self.simulation.find_side(peer)
        if side is not None:
            self.directory.update_member(peer, side.service, "abashiri", True, False)
        self.runner.peer_connected(peer)

    def peer_disconnected(self, peer):
        self.runner.peer_disconnected(peer)
        side = self.simulation.find_side(peer)
        if side is None or side.process != peer:
            self.directory.remove_member(peer)

    def peer_message(self, peer, message):
        self.runner.peer_message(peer, message)


class Simulation:
    """All processes, the answers that callers got and the runs of backend servers."""

    def __init__(self, seed=0, models=3, services=2, entries=2, settings=None):
        self.settings = settings
        self.random = random.Random(seed)
        self.time = VirtualTime()
        self.network = FakeNetwork(self.time, self.random)
        self.store_state = StoreState()
        self.is_key_valid = True
        self.hand_overs = []
        self.traces = []
        self.runs = []
        self.side_processes = []
        self._boots = 0
        for number in range(models):
            self.side_processes.append(FakeSideProcess(self, f"model-{number}", MODEL))
        for number in range(services):
            self.side_processes.append(
                FakeSideProcess(self, f"service-{number}", SERVICE)
            )
        self.entries = [
            SimulatedEntry(self, f"entry-{number}") for number in range(entries)
        ]
        self.advance(1)

    def allocate_boot(self):
        self._boots += 1
        return self._boots

    def find_side(self, peer):
        return next((side for side in self.side_processes if side.vm == peer.vm), None)

    def advance(self, seconds):
        self.time.advance(timedelta(seconds=seconds))

    def generate(self, entry=0, tokens=20, deadline=5.0, gives_credit=True):
        name = f"g{len(self.traces)}"
        body = b"x" * (1 + len(self.traces))
        text = "".join(format_token(ADAPTER, body, number) for number in range(tokens))
        trace = Trace(name, expected_text=text, expected_tokens=tokens)
        request = GenerationRequest(
            name,
            "team",
            MODEL,
            ADAPTER,
            body,
            tokens,
            deadline=timedelta(seconds=deadline),
            key_record="key",
        )
        return self._run("run_generation", entry, request, trace, gives_credit)

    def call(self, entry=0, key="", idempotent=False, deadline=3.0, body=b"book"):
        name = f"c{len(self.traces)}"
        headers = (("idempotency-key", key),) if key else ()
        trace = Trace(name, key=key, idempotent=idempotent)
        request = CallRequest(
            name,
            "team",
            SERVICE,
            ServiceRequest("POST", "/bookings", headers, body),
            idempotent,
            key,
            timedelta(seconds=deadline),
            key_record="key",
        )
        return self._run("run_call", entry, request, trace, False)

    def _run(self, method, entry, request, trace, gives_credit):
        entry_process = self.entries[entry % len(self.entries)]
        trace.entry = entry_process.process
        self.traces.append(trace)
        run = []
        if gives_credit:
            trace.on_tokens = lambda count: [
                request_run.credit(count) for request_run in run
            ]
        # A paused entry process receives the request once it is resumed.
        entry_process.clock.run_or_defer(
            lambda: run.append(getattr(entry_process.runner, method)(request, trace))
        )
        self.runs.append(run)
        return trace

    def end_failures(self):
        """End all injected failures."""
        self.network.heal()
        self.network.loss_rate = self.network.duplicate_rate = 0.0
        self.network.jitter = timedelta(0)
        self.store_state.available = True
        for process in self.side_processes + self.entries:
            process.clock.resume()
        for side in self.side_processes:
            side.is_busy = side.has_lossy_backend = False
        for entry in self.entries:
            entry.store.lost_reply_rate = 0.0
            entry.store.stale_reads = 0
            entry.store.delay = timedelta(milliseconds=1)
