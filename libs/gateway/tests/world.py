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
from balsamspoke_gateway.event_ids import parse_event_id
from balsamspoke_gateway.fleet.fleet import Fleet
from balsamspoke_gateway.fleet.replicas import HeldModel, ReplicaRecord
from balsamspoke_gateway.forwarding.forwarding import Forwarding
from balsamspoke_gateway.messages import ReplicaState
from balsamspoke_gateway.peers.standing import Standing
from balsamspoke_gateway.requests import (
    AdapterName,
    CallerRequest,
    Prompt,
    PromptPart,
)
from balsamspoke_gateway.settings import GatewaySettings
from twisted.internet.defer import Deferred

from .recorders import RecordedObserver, RecordedPeers, RecordedSink
from .scripted_replicas import ScriptedClient

HOST = "api.example"
MODEL = "base"
# Seconds after which a process is no longer treated as one that has just started.
LONG_RUNNING = 60.0


def make_event_id(number):
    """Return the EventId of a number; None for None."""
    return None if number is None else parse_event_id(b"%d" % number)


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
        make_route(
            "low-stream",
            RequestKind.STREAMING,
            "engines",
            is_public=True,
            objective=seconds(2),
            priority=2,
            timeout=seconds(20),
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


def make_record(replica_id, service="plain", number=1, **others):
    """Return a ReplicaRecord whose IP address ends in a number.

    A replica of the service "engines" holds the base model without adapters, unless
    ``models`` is given.
    """
    models = (HeldModel(MODEL, 1, {}),) if service == "engines" else ()
    others.setdefault("models", models)
    born = others.pop("born", 1)
    domain = others.pop("failure_domain", "north")
    return ReplicaRecord(
        replica_id, born, service, f"10.0.0.{number}", 80, domain, 8, **others
    )


class World:
    """Context of an entry process with scripted replicas and recorded messages.

    Parameters
    ----------
    time : VirtualTime or None
        Time to share with other processes; None for a time of its own.
    ip : str
        IP address of the process.
    domain_drain_time : timedelta or None
        Bound of the settings for drained failure domains.
    is_first_start : bool
        Whether the settings say that the whole system starts for the first time.
    age : float
        Seconds for which the process has been running.
    """

    def __init__(
        self,
        time=None,
        ip="10.0.1.1",
        domain_drain_time=None,
        is_first_start=False,
        age=LONG_RUNNING,
    ):
        self.time = time or VirtualTime()
        self.clock = VirtualClock(self.time)
        self.client = ScriptedClient()
        self.peers = RecordedPeers()
        self.observer = RecordedObserver()
        settings = GatewaySettings(
            ip,
            ip,
            "north",
            retry_extra=50.0,
            domain_drain_time=domain_drain_time,
            is_first_start=is_first_start,
        )
        self.context = GatewayContext(
            settings,
            self.clock,
            self.client,
            self.peers,
            self.observer,
            Fleet(self.clock),
            draw=lambda: 0.0,
        )
        self.context.started_at -= seconds(age)
        self.context.standing = Standing(1, is_settled=True)
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
        sink=None,
        last_event_id=None,
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
        sink : RecordedSink or None
            Takes the answer; None for a new one.
        last_event_id : int or None
            Id of the last event of the stream that the request resumes.
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
            last_event_id=make_event_id(last_event_id),
            **others,
        )
        sink = sink or RecordedSink()
        return sink, self.forward(request, sink)

    def forward(self, request, sink):
        """Start to forward a CallerRequest; return a Deferred that cancels it."""
        return Deferred.fromCoroutine(Forwarding(self.context, request, sink).run())

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
