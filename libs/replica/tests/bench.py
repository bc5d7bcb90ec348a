"""A replica with its fakes, and the checks of what it did."""

import random
from datetime import timedelta

from balsamspoke_fakes import FakeEngine, FakePlainService, VirtualClock, VirtualTime
from balsamspoke_replica import EngineReplica, ReplicaSettings, ServiceReplica
from balsamspoke_types.identifiers import AdapterRef, AttemptId, ProcessId
from balsamspoke_types.messages import (
    AttemptFailed,
    AttemptFenced,
    AttemptRefused,
    CallService,
    GenerationFinished,
    RunGeneration,
    ServiceAnswered,
    TokensProduced,
)
from balsamspoke_types.objects import Model
from balsamspoke_types.ports import EngineReport, ServiceRequest

ENTRY = ProcessId("entry-1", 1)
SIDE = ProcessId("side-1", 1)
ENDS = (AttemptFailed, AttemptRefused, GenerationFinished, ServiceAnswered)


def milliseconds(count):
    return timedelta(milliseconds=count)


def adapter(number, version=1):
    return AdapterRef(f"adapter-{number}", version)


class LyingEngine(FakeEngine):
    """A FakeEngine whose report is late, and may say anything of adapters."""

    def __init__(self, clock, slots):
        super().__init__(clock, slots)
        self.lag = timedelta(0)
        self.claimed = None

    def _report(self, _):
        seen = super()._report(None)
        if self.claimed is not None:
            seen = EngineReport(seen.boot, 0, 0, tuple(self.claimed))
        return seen

    def report(self):
        result = super().report()
        if self.lag and self.up:
            late = type(result)()
            result.addCallbacks(
                lambda seen: self.after(
                    self.lag, self.clock.run_or_defer, late.callback, seen
                ),
                late.errback,
            )
            return late
        return result


class Bench:
    """One replica, one virtual time, and all that it sent."""

    def __init__(self, slots=2, batch_size=4, seed=0, **settings):
        self.time = VirtualTime()
        self.clock = VirtualClock(self.time)
        self.engine = LyingEngine(self.clock, slots)
        self.service = FakePlainService(self.clock)
        self.model = Model("base", adapter_slots=slots, batch_size=batch_size)
        self.settings = ReplicaSettings(**settings)
        self.random = random.Random(seed)
        self.sent = []
        self.events = []
        self.withdrawn = set()
        self.is_holder = True
        self.numbers = 0
        self.runs = {}
        self.replica = None

    def start_engine(self, fencing=1):
        self.replica = EngineReplica(
            SIDE,
            self.model,
            self.clock,
            self.random,
            self.engine,
            lambda peer, message: self.sent.append((peer, message)),
            lambda record, version: record not in self.withdrawn,
            fencing,
            lambda: self.is_holder,
            self.settings,
            self.events.append,
        )
        self.replica.start()
        self.replica.peer_connected(ENTRY)
        self.advance(1)
        return self

    def start_service(self):
        self.replica = ServiceReplica(
            SIDE,
            "booking",
            self.clock,
            self.random,
            self.service,
            lambda peer, message: self.sent.append((peer, message)),
            lambda record, version: record not in self.withdrawn,
            self.settings,
            self.events.append,
        )
        self.replica.start()
        self.replica.peer_connected(ENTRY)
        self.advance(10)
        return self

    def advance(self, count):
        self.time.advance(milliseconds(count))

    def tell(self, message, peer=ENTRY):
        return self.replica.peer_message(peer, message)

    def build_run(self, wanted=None, team="team", tokens=3, peer=ENTRY, **fields):
        self.numbers += 1
        attempt = AttemptId(peer, self.numbers)
        order = RunGeneration(
            attempt, "request", team, "base", wanted, b"{}", tokens, **fields
        )
        self.runs[attempt] = order
        return order

    def run(self, wanted=None, peer=ENTRY, **fields):
        order = self.build_run(wanted, peer=peer, **fields)
        self.tell(order, peer)
        return order.attempt

    def call(self, peer=ENTRY, deadline=timedelta(seconds=5), **fields):
        self.numbers += 1
        attempt = AttemptId(peer, self.numbers)
        request = ServiceRequest("POST", f"/{self.numbers}", (), b"")
        message = CallService(
            attempt, "request", "team", "booking", request, False, deadline, **fields
        )
        self.tell(message, peer)
        return message

    def find(self, attempt, kinds=(*ENDS, AttemptFenced)):
        return [
            message
            for _, message in self.sent
            if isinstance(message, kinds) and message.attempt == attempt
        ]

    def find_tokens(self, attempt):
        chunks = [
            chunk
            for _, message in self.sent
            if isinstance(message, TokensProduced)
            for chunk in message.chunks
            if chunk.attempt == attempt
        ]
        return [(chunk.offset, chunk.text) for chunk in chunks]

    def list_started(self):
        return [order.request for order in self.engine.started]


def check_adapters(started, runs):
    """Return the started orders that ran on another adapter than asked for."""
    wanted = {str(attempt): order.adapter for attempt, order in runs.items()}
    return [order for order in started if order.adapter != wanted[order.request]]


def check_run_once(started):
    """Return the requests that were started more than once."""
    names = [order.request for order in started]
    return sorted({name for name in names if names.count(name) > 1})


def check_not_run(sent, started):
    """Return the attempts said not to have run that were started."""
    names = {order.request for order in started}
    refused = [
        message.attempt
        for _, message in sent
        if isinstance(message, AttemptRefused)
        or (isinstance(message, AttemptFenced) and not message.handed_over)
    ]
    return [attempt for attempt in refused if str(attempt) in names]


def check_one_end(sent, attempts):
    """Return the attempts without exactly one end.

    The answer to FenceAttempt is the end only of an attempt without another one.
    """
    counts = dict.fromkeys(attempts, 0)
    fenced = set()
    for _, message in sent:
        if isinstance(message, ENDS) and message.attempt in counts:
            counts[message.attempt] += 1
        elif isinstance(message, AttemptFenced) and not message.handed_over:
            fenced.add(message.attempt)
    return [
        attempt
        for attempt, count in counts.items()
        if count > 1 or (count == 0 and attempt not in fenced)
    ]
