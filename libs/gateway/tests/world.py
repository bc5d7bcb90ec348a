"""An entry process's decisions over scripted replicas, in virtual time."""

from datetime import timedelta

from balsamspoke_fakes import VirtualClock, VirtualTime
from balsamspoke_gateway.configuration import (
    Configuration,
    EngineLimits,
    EngineModel,
    RequestKind,
    Route,
    Service,
    Team,
    WeightedService,
)
from balsamspoke_gateway.context import GatewayContext
from balsamspoke_gateway.exceptions import AnswerLost
from balsamspoke_gateway.fleet import Fleet
from balsamspoke_gateway.forwarding import Forwarding
from balsamspoke_gateway.messages import ReplicaState
from balsamspoke_gateway.observing import Observer, RequestEnded
from balsamspoke_gateway.ports import CallerSink, Exchange, PeerSender, ReplicaClient
from balsamspoke_gateway.replicas import HeldModel, ReplicaRecord
from balsamspoke_gateway.requests import (
    AdapterName,
    CallerRequest,
    Prompt,
    ReplicaAnswer,
)
from balsamspoke_gateway.settings import GatewaySettings
from twisted.internet.defer import Deferred, fail, succeed

HOST = "api.example"
MODEL = "base"
SIGNED = ((b"X-Signature", b"x"),)


def seconds(number):
    return timedelta(seconds=number)


def make_route(name, kind, service, **others):
    others.setdefault("timeout", seconds(5))
    others.setdefault("objective", seconds(0.6))
    return Route(
        name, HOST, f"/{name}/", kind, (WeightedService(service, 1.0),), **others
    )


CONFIGURATION = Configuration(
    1,
    (
        make_route("safe", RequestKind.SAFE, "plain", max_attempts=2, is_public=True),
        make_route(
            "unsafe", RequestKind.UNSAFE, "plain", max_attempts=1, is_public=True
        ),
        make_route(
            "resumable",
            RequestKind.STREAMING,
            "engines",
            max_attempts=2,
            is_public=True,
            is_resumable=True,
        ),
        make_route("stream", RequestKind.STREAMING, "engines", is_public=True),
        make_route("keyed", RequestKind.SAFE, "plain", max_attempts=2),
        make_route("keyed-stream", RequestKind.STREAMING, "engines"),
    ),
    (
        Service("plain", 10),
        Service("engines", 10, EngineLimits((EngineModel(MODEL, 10.0),), 20.0, 4, 8)),
    ),
    (Team("harbour", frozenset({"key-1"}), rate=100.0, burst=200.0),),
)


class Answer:
    """What a scripted replica does: pieces, then a proper end or a break."""

    def __init__(self, status=200, pieces=(b"body",), **others):
        self.status = status
        self.pieces = pieces
        self.has_run = others.pop("has_run", True)
        self.is_signed = others.pop("is_signed", True)
        self.breaks = others.pop("breaks", False)
        self.error = others.pop("error", None)
        self.is_silent = others.pop("is_silent", False)
        self.goes_silent = others.pop("goes_silent", False)


class ScriptedExchange(Exchange):
    def __init__(self, answer):
        self.answer = answer
        self.left = list(answer.pieces)
        self.is_aborted = False

    def read_answer(self):
        answer = self.answer
        if answer.error is not None:
            return fail(answer.error)
        if answer.is_silent:
            return Deferred(lambda _: self.abort())
        return succeed(
            ReplicaAnswer(
                answer.status,
                SIGNED,
                answer.has_run,
                answer.status == 421,
                answer.is_signed,
            )
        )

    def read_piece(self):
        if self.left:
            return succeed(self.left.pop(0))
        if self.answer.goes_silent:
            return Deferred(lambda _: self.abort())
        if self.answer.breaks:
            return fail(AnswerLost("connection lost"))
        return succeed(b"")

    def abort(self):
        self.is_aborted = True


class ScriptedClient(ReplicaClient):
    """Replicas that answer as told, one Answer after the other."""

    def __init__(self):
        self.answers = {}
        self.sent = []
        self.exchanges = []

    def script(self, replica_id, *answers):
        self.answers[replica_id] = list(answers)

    def send(self, record, request):
        self.sent.append((record.id, request))
        script = self.answers.get(record.id)
        answer = script.pop(0) if script else Answer()
        exchange = ScriptedExchange(answer)
        self.exchanges.append(exchange)
        return exchange


class RecordedSink(CallerSink):
    status = 0

    def __init__(self):
        self.status = 0
        self.headers = ()
        self.body = b""
        self.is_finished = False
        self.is_broken = False
        self.refusal = None
        self.failure = None

    @property
    def is_started(self):
        return self.status != 0

    @property
    def is_ended(self):
        return self.is_finished or self.is_broken

    def start(self, status, headers, length=None):
        assert self.status == 0
        self.status = status
        self.headers = headers

    def write(self, data):
        assert not self.is_ended
        self.body += data

    def finish(self):
        assert not self.is_ended
        self.is_finished = True

    def abort(self):
        self.is_broken = True

    def refuse(self, error):
        self.refusal = error
        self.start(503, ())
        self.finish()

    def fail(self, error):
        self.failure = error
        self.start(502, ())
        self.finish()


class RecordedObserver(Observer):
    def __init__(self):
        self.events = []

    def observe(self, event):
        self.events.append(event)

    def find_end(self):
        return [each for each in self.events if isinstance(each, RequestEnded)][-1]


class RecordedPeers(PeerSender):
    def __init__(self):
        self.sent = []

    def send(self, ip, message):
        self.sent.append((ip, message))


def make_record(replica_id, service="plain", number=1, **others):
    models = (HeldModel(MODEL, 1, {}),) if service == "engines" else ()
    others.setdefault("models", models)
    born = others.pop("born", 1)
    return ReplicaRecord(
        replica_id, born, service, f"10.0.0.{number}", 80, "north", 8, **others
    )


class World:
    def __init__(self):
        self.time = VirtualTime()
        self.clock = VirtualClock(self.time)
        self.client = ScriptedClient()
        self.peers = RecordedPeers()
        self.observer = RecordedObserver()
        settings = GatewaySettings("entry-1", "10.0.1.1", "north", retry_extra=50.0)
        self.context = GatewayContext(
            settings,
            self.clock,
            self.client,
            self.peers,
            self.observer,
            Fleet(self.clock),
            draw=lambda: 0.0,
        )
        self.context.configuration = CONFIGURATION

    def add(self, *records):
        for record in records:
            self.context.fleet.directory.put(record)

    def tell_state(self, record, adapters, **others):
        """Let the side process of a replica be heard."""
        state = ReplicaState(record.born, {MODEL: adapters}, **others)
        self.context.fleet.record_state(record.ip, state)
        self.context.demands.record_state(record.id, state.models)

    def send(
        self,
        route,
        adapter=None,
        key=None,
        caller_timeout=5,
        tokens=100,
        body=b"",
        **others,
    ):
        """Begin on a request; return its RecordedSink and the running Deferred."""
        prompt = None
        if route in ("resumable", "stream", "keyed-stream"):
            prompt = Prompt(AdapterName(MODEL, adapter), tokens, 50)
        request = CallerRequest(
            "id-1",
            b"POST",
            f"/{route}/x".encode(),
            HOST,
            f"/{route}/x",
            (),
            body,
            key,
            seconds(caller_timeout),
            prompt,
            **others,
        )
        sink = RecordedSink()
        running = Deferred.fromCoroutine(Forwarding(self.context, request, sink).run())
        return sink, running

    def pass_time(self, number):
        self.time.advance(seconds(number))
