"""Test harness for a replica with fakes, and checks of its recorded messages."""

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
FINAL_MESSAGES = (AttemptFailed, AttemptRefused, GenerationFinished, ServiceAnswered)


def milliseconds(count):
    return timedelta(milliseconds=count)


def adapter(number, version=1):
    return AdapterRef(f"adapter-{number}", version)


class MisreportingEngine(FakeEngine):
    """A FakeEngine whose reports can be late or list wrong adapters.

    Attributes
    ----------
    report_lag : timedelta
        Delay of each report.
    reported_adapters : list of AdapterRef or None
        Adapters to report instead of the loaded ones; None for the loaded ones.
    """

    def __init__(self, clock, slots):
        super().__init__(clock, slots)
        self.report_lag = timedelta(0)
        self.reported_adapters = None

    def _report(self, _):
        report = super()._report(None)
        if self.reported_adapters is not None:
            report = EngineReport(report.boot, 0, 0, tuple(self.reported_adapters))
        return report

    def report(self):
        result = super().report()
        if self.report_lag and self.up:
            delayed = type(result)()
            result.addCallbacks(
                lambda report: self.after(
                    self.report_lag, self.clock.run_or_defer, delayed.callback, report
                ),
                delayed.errback,
            )
            return delayed
        return result


class ReplicaHarness:
    """One replica under virtual time, with a record of its messages and events.

    Attributes
    ----------
    sent : list of tuple
        Pairs of a ProcessId and a message that the replica sent to it.
    events : list
        Events that the replica emitted.
    withdrawn_keys : set of str
        Names of key records that count as invalid.
    is_holder : bool
        Whether the replica's process still owns the engine.
    runs : dict
        Each built RunGeneration by its AttemptId.
    """

    def __init__(self, slots=2, batch_size=4, seed=0, **settings):
        self.time = VirtualTime()
        self.clock = VirtualClock(self.time)
        self.engine = MisreportingEngine(self.clock, slots)
        self.service = FakePlainService(self.clock)
        self.model = Model("base", adapter_slots=slots, batch_size=batch_size)
        self.settings = ReplicaSettings(**settings)
        self.random = random.Random(seed)
        self.sent = []
        self.events = []
        self.withdrawn_keys = set()
        self.is_holder = True
        self.last_number = 0
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
            lambda record, version: record not in self.withdrawn_keys,
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
            lambda record, version: record not in self.withdrawn_keys,
            self.settings,
            self.events.append,
        )
        self.replica.start()
        self.replica.peer_connected(ENTRY)
        self.advance(10)
        return self

    def advance(self, count):
        self.time.advance(milliseconds(count))

    def deliver(self, message, peer=ENTRY):
        return self.replica.peer_message(peer, message)

    def build_run(
        self, requested_adapter=None, team="team", tokens=3, peer=ENTRY, **fields
    ):
        self.last_number += 1
        attempt = AttemptId(peer, self.last_number)
        message = RunGeneration(
            attempt, "request", team, "base", requested_adapter, b"{}", tokens, **fields
        )
        self.runs[attempt] = message
        return message

    def send_run(self, requested_adapter=None, peer=ENTRY, **fields):
        message = self.build_run(requested_adapter, peer=peer, **fields)
        self.deliver(message, peer)
        return message.attempt

    def send_call(self, peer=ENTRY, deadline=timedelta(seconds=5), **fields):
        self.last_number += 1
        attempt = AttemptId(peer, self.last_number)
        request = ServiceRequest("POST", f"/{self.last_number}", (), b"")
        message = CallService(
            attempt, "request", "team", "booking", request, False, deadline, **fields
        )
        self.deliver(message, peer)
        return message

    def find_replies(self, attempt, kinds=(*FINAL_MESSAGES, AttemptFenced)):
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
    """Return the GenerationOrders that ran on a different adapter than requested."""
    requested = {str(attempt): message.adapter for attempt, message in runs.items()}
    return [order for order in started if order.adapter != requested[order.request]]


def check_run_once(started):
    """Return the names of the requests that were started more than once."""
    names = [order.request for order in started]
    return sorted({name for name in names if names.count(name) > 1})


def check_not_run(sent, started):
    """Return the attempts that were reported as not run although they were started."""
    names = {order.request for order in started}
    refused = [
        message.attempt
        for _, message in sent
        if isinstance(message, AttemptRefused)
        or (isinstance(message, AttemptFenced) and not message.handed_over)
    ]
    return [attempt for attempt in refused if str(attempt) in names]


def check_one_final_message(sent, attempts):
    """Return the attempts without exactly one final message.

    An AttemptFenced counts as final only for an attempt without any other one.
    """
    counts = dict.fromkeys(attempts, 0)
    fenced = set()
    for _, message in sent:
        if isinstance(message, FINAL_MESSAGES) and message.attempt in counts:
            counts[message.attempt] += 1
        elif isinstance(message, AttemptFenced) and not message.handed_over:
            fenced.add(message.attempt)
    return [
        attempt
        for attempt, count in counts.items()
        if count > 1 or (count == 0 and attempt not in fenced)
    ]
