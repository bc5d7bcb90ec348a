"""An entry process with scripted replicas, in virtual time."""

import itertools
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
    PromptPart,
    ReplicaAnswer,
)
from balsamspoke_gateway.settings import GatewaySettings
from twisted.internet.defer import Deferred, fail, succeed

HOST = "api.example"
MODEL = "base"
SIGNATURE_HEADERS = ((b"X-Signature", b"x"),)


def seconds(number):
    return timedelta(seconds=number)


def make_route(name, kind, service, **others):
    """Return a Route whose path prefix is its name and which leads to one service."""
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
        make_route(
            "patient-stream",
            RequestKind.STREAMING,
            "engines",
            is_public=True,
            objective=seconds(2),
        ),
        make_route(
            "paced-stream",
            RequestKind.STREAMING,
            "engines",
            is_public=True,
            max_event_interval=seconds(0.4),
        ),
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
    """Answer of a scripted replica to one attempt.

    Parameters
    ----------
    status : int
        HTTP status; 421 also marks the answer as misdirected.
    pieces : sequence of bytes
        The body, in the pieces in which it is read.
    has_run : bool
        Whether the replica has run the request; True by default.
    is_signed : bool
        Whether the answer carries a replica's signature; True by default.
    breaks : bool
        Whether the connection is lost after the last piece.
    error : AttemptError or None
        Error that reading the head of the answer fails with.
    is_silent : bool
        Whether the replica sends nothing at all.
    goes_silent : bool
        Whether the replica sends nothing more after the last piece, not even the end.
    is_framed : bool
        Whether the end of the answer is marked; True by default.
    is_leaving : bool
        Whether the answer states that the replica leaves.
    retry_after : timedelta or None
        Time for which the replica wants no requests; None by default.
    rate_limit : float or None
        Requests a second that the replica takes; None by default.
    """

    def __init__(self, status=200, pieces=(b"body",), **others):
        self.status = status
        self.pieces = pieces
        self.has_run = others.pop("has_run", True)
        self.is_signed = others.pop("is_signed", True)
        self.breaks = others.pop("breaks", False)
        self.error = others.pop("error", None)
        self.is_silent = others.pop("is_silent", False)
        self.goes_silent = others.pop("goes_silent", False)
        self.is_framed = others.pop("is_framed", True)
        self.is_leaving = others.pop("is_leaving", False)
        self.retry_after = others.pop("retry_after", None)
        self.rate_limit = others.pop("rate_limit", None)


class ScriptedExchange(Exchange):
    """An exchange that gives an Answer, and records whether it was aborted."""

    def __init__(self, answer):
        self.answer = answer
        self.remaining_pieces = list(answer.pieces)
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
                SIGNATURE_HEADERS,
                answer.has_run,
                answer.status == 421,
                answer.is_signed,
                is_leaving=answer.is_leaving,
                retry_after=answer.retry_after,
                is_framed=answer.is_framed,
                rate_limit=answer.rate_limit,
            )
        )

    def read_piece(self):
        if self.remaining_pieces:
            return succeed(self.remaining_pieces.pop(0))
        if self.answer.goes_silent:
            self._silent_reader = Deferred(lambda _: self.abort())
            return self._silent_reader
        if self.answer.breaks:
            return fail(AnswerLost("connection lost"))
        return succeed(b"")

    def abort(self):
        self.is_aborted = True

    def lose(self, error):
        """Fail the pending read of an exchange that went silent."""
        self._silent_reader.errback(error)


class ScriptedClient(ReplicaClient):
    """Client of replicas that give scripted Answers, and a default one afterwards.

    Attributes
    ----------
    answers : dict
        Lists of the remaining Answers, by replica id; replicas may share a list.
    sent : list of tuple
        Replica id and ReplicaRequest of each attempt.
    exchanges : list of ScriptedExchange
        Exchange of each attempt.
    """

    def __init__(self):
        self.answers = {}
        self.sent = []
        self.exchanges = []

    def script(self, replica_id, *answers):
        """Set the Answers of a replica."""
        self.answers[replica_id] = list(answers)

    def is_refusing(self, record):
        return succeed(False)

    def send(self, record, request):
        self.sent.append((record.id, request))
        script = self.answers.get(record.id)
        answer = script.pop(0) if script else Answer()
        exchange = ScriptedExchange(answer)
        self.exchanges.append(exchange)
        return exchange


class RecordedSink(CallerSink):
    """Sink that records the answer to the caller, and the error if it is one.

    Attributes
    ----------
    is_finished : bool
        Whether the answer is complete.
    is_broken : bool
        Whether the answer was truncated.
    refusal : RequestRefused or None
        Error of an answer that says that the request has not run.
    failure : TimedOut, OutcomeUnknown or None
        Error of an answer that says that the request may have run.
    """

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
        """Whether the answer is complete or was truncated."""
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
    """Observer that records the events."""

    def __init__(self):
        self.events = []

    def observe(self, event):
        self.events.append(event)

    def find_request_end(self):
        """Return the last RequestEnded."""
        return [each for each in self.events if isinstance(each, RequestEnded)][-1]


class RecordedPeers(PeerSender):
    """Sender that records the messages with the IP addresses of their recipients."""

    def __init__(self):
        self.sent = []

    def send(self, ip, message):
        self.sent.append((ip, message))


def make_record(replica_id, service="plain", number=1, **others):
    """Return a ReplicaRecord whose IP address ends in a number.

    A replica of the service "engines" holds the base model without adapters, unless
    ``models`` is given.
    """
    models = (HeldModel(MODEL, 1, {}),) if service == "engines" else ()
    others.setdefault("models", models)
    born = others.pop("born", 1)
    return ReplicaRecord(
        replica_id, born, service, f"10.0.0.{number}", 80, "north", 8, **others
    )


class World:
    """Context of an entry process with scripted replicas and recorded messages.

    Parameters
    ----------
    time : VirtualTime or None
        Time to share with other processes; None for a time of its own.
    ip : str
        IP address of the process.
    """

    def __init__(self, time=None, ip="10.0.1.1"):
        self.time = time or VirtualTime()
        self.clock = VirtualClock(self.time)
        self.client = ScriptedClient()
        self.peers = RecordedPeers()
        self.observer = RecordedObserver()
        settings = GatewaySettings(ip, ip, "north", retry_extra=50.0)
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
        self.context.startup.open()
        self._bodies = itertools.count()

    def add(self, *records):
        """Add ReplicaRecords to the directory."""
        for record in records:
            self.context.fleet.directory.put(record)

    def tell_state(self, record, adapters, **others):
        """Deliver a ReplicaState from the side process of a replica.

        Parameters
        ----------
        record : ReplicaRecord
            Entry of the replica in the store.
        adapters : dict
            Versions of the adapters that it holds for ``MODEL``, by name.
        **others
            Further fields of the ReplicaState.
        """
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
        body=None,
        parts=(),
        has_prompt=True,
        request_id="id-1",
        **others,
    ):
        """Start a request on a route; return its RecordedSink and its Deferred.

        Parameters
        ----------
        route : str
            Name of the route.
        adapter : str or None
            Name of the adapter; None for the base model alone.
        key : str or None
            API key of the caller's team.
        caller_timeout : float
            Seconds that the caller waits for the answer.
        tokens : int
            Length of the prompt in tokens.
        body : bytes or None
            Body of the request; None for one that no other request has.
        parts : sequence of str
            Ids of the parts of the prompt, in order.
        has_prompt : bool
            Whether a request for a stream names a model and a prompt.
        request_id : str
            Id of the request.
        **others
            Further fields of the CallerRequest.
        """
        if body is None:
            body = f"{self.context.settings.ip} {next(self._bodies)}".encode()
        prompt = None
        if has_prompt and (route == "resumable" or route.endswith("stream")):
            prompt_parts = tuple(PromptPart(part, 10) for part in parts)
            prompt = Prompt(AdapterName(MODEL, adapter), tokens, 50, prompt_parts)
        request = CallerRequest(
            request_id,
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

    def exchange(self, replica, answer):
        """Send plain requests of which one gets the given Answer from a replica."""
        script = [answer]
        self.client.answers = {replica: script}
        for _ in range(5):
            self.send("safe")
        assert not script
        self.client.sent.clear()

    def list_receivers(self):
        """Return the ids of the replicas that the next plain requests are sent to."""
        for _ in range(10):
            self.send("safe")
        receivers = {replica for replica, _ in self.client.sent}
        self.client.sent.clear()
        return receivers

    def pass_time(self, duration):
        """Advance the virtual time by a number of seconds."""
        self.time.advance(seconds(duration))
