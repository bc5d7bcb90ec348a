"""Entry processes with engines that crash, or name a rate limit, in virtual time."""

import itertools
import random
from dataclasses import dataclass, replace
from datetime import timedelta

from balsamspoke_fakes import VirtualClock, VirtualTime
from balsamspoke_gateway.exceptions import ConnectionLost, NotSent
from balsamspoke_gateway.messages import ReplicaState
from balsamspoke_gateway.ports import Exchange, PeerSender, ReplicaClient
from balsamspoke_gateway.requests import ReplicaAnswer
from balsamspoke_gateway.stream_versions import StreamOriginHolder
from twisted.internet.defer import Deferred, fail, succeed

from .entry_world import EntryWorld, FakeStore
from .scripted_replicas import SIGNATURE_HEADERS
from .world import CONFIGURATION, MODEL, make_record, seconds

CRASHING_PART = "bad"
CRASHING_BODY = b"bad"
EVENT_COUNT = 5
# Seconds from the arrival of a request to the head of its answer, from there to its
# first event or to the crash, and between events.
START_DELAY = 0.1
CRASH_DELAY = 0.05
EVENT_INTERVAL = 0.1
# Seconds until a crashed engine is registered anew, under another id.
RESTART_DELAY = 3.0
NETWORK_DELAY = 0.001
# Seconds for which engines are cold after their start, if they have a cold rate.
COLD_TIME = 3.0


@dataclass(frozen=True)
class Arrival:
    """A request that reached an engine, at a time in seconds.

    Attributes
    ----------
    limit_known_at : float or None
        Time at which the entry process got the engine's first answer that names a rate
        limit; None if it has got none.
    domain : str
        Failure domain of the engine.
    """

    time: float
    entry: str
    replica: str
    parts: tuple[str, ...]
    body: bytes
    limit_known_at: float | None = None
    domain: str = ""


@dataclass(frozen=True)
class RequestedBackoff:
    """A time for which an engine wants nothing from an entry process, in seconds."""

    entry: str
    replica: str
    told_at: float
    ends_at: float


def list_parts(caller_request):
    """Return the ids of the prompt parts that a CallerRequest may share."""
    prompt = caller_request.prompt
    return () if prompt is None else prompt.shared_part_ids


class EngineExchange(Exchange):
    """An exchange whose pieces an engine supplies as time passes."""

    def __init__(self, engine, request, limits_known_at):
        self.engine = engine
        self._limits_known_at = limits_known_at
        self.request = request
        self.is_ended = False
        self._head = Deferred(lambda _: self.abort())
        self._pieces = []
        self._reader = None
        self._error = None

    def read_answer(self):
        return self._head

    def read_piece(self):
        if self._pieces:
            return succeed(self._pieces.pop(0))
        if self._error is not None:
            return fail(self._error)
        self._reader = Deferred(lambda _: self.abort())
        return self._reader

    def abort(self):
        self.is_ended = True
        self.engine.running.pop(self, None)

    def start(self):
        """Supply the head of the answer."""
        rate_limit = self.engine.rate_limit
        if rate_limit is not None:
            self._limits_known_at.setdefault(
                self.engine.record.id, self.engine.fleet.seconds
            )
        self._head.callback(
            ReplicaAnswer(
                200,
                SIGNATURE_HEADERS,
                True,
                False,
                True,
                load=self.engine.load,
                rate_limit=rate_limit,
                cold_left=self.engine.find_stated_cold_left(),
            )
        )

    def refuse(self, retry_after):
        """Supply the head of a refusal that asks for a backoff, without a body."""
        self.is_ended = True
        self._pieces.append(b"")
        head = ReplicaAnswer(503, (), False, False, True, retry_after=retry_after)
        self._head.callback(head)

    def supply(self, piece):
        """Supply a piece of the body; empty at its end."""
        reader, self._reader = self._reader, None
        if reader is not None:
            reader.callback(piece)
        else:
            self._pieces.append(piece)

    def break_off(self, error):
        """Fail the exchange."""
        self.is_ended = True
        self._error = error
        reader, self._reader = self._reader, None
        if not self._head.called:
            self._head.errback(error)
        elif reader is not None:
            reader.errback(error)


class Engine:
    """An engine at one address, which starts again under a new id after a crash.

    Attributes
    ----------
    record : ReplicaRecord
        Its entry in the store.
    is_up : bool
        Whether it accepts connections.
    running : dict
        EngineExchanges without a complete answer, in the order of their arrival.
    rate_limit : float or None
        Requests a second that it names as its limit.
    backoff : timedelta or None
        Time that it asks for as it refuses all requests; None if it takes them.
    cold_phases : list of tuple of float
        Begin and end of each time for which it was cold, in seconds.
    says_cold : bool
        Whether its answers state for how long it stays cold.
    slowdown : float
        Time that its work takes, as a multiple of the usual time.
    load : ServerLoad or None
        Load that it states in its answers.
    """

    def __init__(self, fleet, record):
        self.fleet = fleet
        self.record = record
        self.is_up = True
        self.running = {}
        self.rate_limit = None
        self.backoff = None
        self.slowdown = 1.0
        self.load = None
        self.cold_phases = []
        self.says_cold = True

    def turn_cold(self, duration, is_announced=False):
        """Turn cold for a number of seconds, with or without a word in the store."""
        now = self.fleet.seconds
        self.cold_phases.append((now, now + duration))
        if is_announced:
            entry = replace(self.record, cold_left=seconds(duration))
            self.fleet.store.write("replicas", entry.id, entry)

    def find_stated_cold_left(self):
        """Return the timedelta for which it says that it stays cold, or None."""
        end = self.cold_phases[-1][1] if self.cold_phases else 0.0
        time_left = seconds(end - self.fleet.seconds)
        return time_left if self.says_cold and time_left > seconds(0) else None

    def restart(self, down, cold, entry_delay):
        """End, and start again under the same id, cold; all times are in seconds.

        Parameters
        ----------
        down : float
            Time without the engine.
        cold : float
            Time for which it is cold from its new start.
        entry_delay : float
            Time from its start until the store shows it.
        """
        self.is_up = False
        running, self.running = list(self.running), {}
        for exchange in running:
            exchange.break_off(self.fleet.make_loss_error())
        self.fleet.call_later(down, self._return_cold, cold, entry_delay)

    def _return_cold(self, cold, entry_delay):
        self.record = replace(self.record, born=self.record.born + 1_000)
        self.is_up = True
        self.turn_cold(cold)
        write = self.fleet.store.write
        self.fleet.call_later(
            entry_delay, write, "replicas", self.record.id, self.record
        )

    def run(self, exchange, entry):
        if self.backoff is not None:
            self.fleet.call_later(NETWORK_DELAY, self._refuse, exchange, entry)
            return
        self.running[exchange] = None
        self.fleet.call_later(self.slowdown * START_DELAY, self._begin, exchange)

    def _refuse(self, exchange, entry):
        if exchange.is_ended:
            return
        backoff = self.backoff or timedelta(0)
        told_at = self.fleet.seconds
        ends_at = told_at + backoff.total_seconds()
        requested = RequestedBackoff(entry, self.record.id, told_at, ends_at)
        self.fleet.backoffs.append(requested)
        exchange.refuse(backoff)

    def _begin(self, exchange):
        if exchange.is_ended:
            return
        caller = exchange.request.caller
        if caller.prompt is None and caller.body == CRASHING_BODY:
            # A plain service ends before the head of its answer.
            self.crash()
            return
        exchange.start()
        if CRASHING_PART in list_parts(caller) or caller.body == CRASHING_BODY:
            self.fleet.call_later(CRASH_DELAY, self._crash_by, exchange)
        else:
            last_event_id = exchange.request.last_event_id
            next_event = 1 + (0 if last_event_id is None else last_event_id.number)
            self.fleet.call_later(CRASH_DELAY, self._write_event, exchange, next_event)

    def _write_event(self, exchange, number):
        if exchange.is_ended:
            return
        if number > EVENT_COUNT:
            self.running.pop(exchange, None)
            exchange.is_ended = True
            exchange.supply(b"")
            return
        version = self.record.software_version.encode()
        exchange.supply(b"id: %d\ndata: %s\n\n" % (number, version))
        pause = self.slowdown * EVENT_INTERVAL
        self.fleet.call_later(pause, self._write_event, exchange, number + 1)

    def _crash_by(self, exchange):
        if not exchange.is_ended:
            self.crash()

    def crash(self):
        """End, with all running requests, and start again after some time."""
        self.fleet.crashes.append(self.fleet.seconds)
        self.is_up = False
        if self.fleet.drops_entries_at_once:
            self.fleet.store.write("replicas", self.record.id, None)
        running, self.running = list(self.running), {}
        for exchange in running:
            exchange.break_off(self.fleet.make_loss_error())
        self.fleet.call_later(RESTART_DELAY, self._start_again)

    def _start_again(self):
        old = self.record
        self.record = self.fleet.make_engine_record(old.ip, old.software_version)
        self.is_up = True
        self.fleet.store.write("replicas", old.id, None)
        self.fleet.store.write("replicas", self.record.id, self.record)


class EngineClient(ReplicaClient):
    """Client of one entry process for the engines of a EngineFleet."""

    def __init__(self, fleet, entry):
        self._fleet = fleet
        self._entry = entry
        self._limits_known_at = {}
        self._exchanges = []

    def reset_connections(self):
        """End all exchanges, as at the end of the process."""
        for exchange in self._exchanges:
            exchange.abort()
        self._exchanges.clear()

    def send(self, record, request):
        engine = self._fleet.engines[record.ip]
        exchange = EngineExchange(engine, request, self._limits_known_at)
        self._exchanges.append(exchange)
        if not engine.is_up or engine.record.id != record.id:
            exchange.break_off(NotSent("connection refused"))
            return exchange
        self._fleet.arrivals.append(
            Arrival(
                self._fleet.seconds,
                self._entry,
                record.id,
                list_parts(request.caller),
                request.caller.body,
                self._limits_known_at.get(record.id),
                record.failure_domain,
            )
        )
        engine.run(exchange, self._entry)
        return exchange

    def is_refusing(self, record):
        return succeed(not self._fleet.engines[record.ip].is_up)


class FleetPeers(PeerSender):
    """Sender that delivers messages to the entry processes of a EngineFleet."""

    def __init__(self, fleet, ip):
        self._fleet = fleet
        self._ip = ip

    def send(self, ip, message):
        fleet = self._fleet
        if ip in fleet.sides and not fleet.is_lost(self._ip, ip):
            fleet.call_later(NETWORK_DELAY, fleet.tell_side, self._ip, ip, message)
        if ip in self._fleet.entries and not self._fleet.is_lost(self._ip, ip):
            self._fleet.call_later(NETWORK_DELAY, self._deliver, ip, message)

    def _deliver(self, ip, message):
        if ip in self._fleet.entries:
            world = self._fleet.entries[ip]
            world.clock.run_or_defer(world.core.receive_message, self._ip, message)


class EngineFleet:
    """Entry processes and engines that share a store and virtual time.

    Parameters
    ----------
    entries, engines : int
        Numbers of entry processes and of engines.
    service : str
        Service of the engines: ``engines``, or ``plain`` for one without prompts.
    versions : sequence of str
        Software versions, which the engines have in turn.
    domains : sequence of str
        Failure domains, which the engines have in turn.
    adapters : sequence of str
        Adapters that each engine holds.
    **settings
        Further parameters of each World.
    cold_rate : float
        Requests a second that a cold engine takes.
    timeout : float or None
        Seconds that the routes allow; None for those of CONFIGURATION.

    Attributes
    ----------
    arrivals : list of Arrival
        Requests that reached an engine.
    backoffs : list of RequestedBackoff
        Backoffs that engines have asked for.
    crashes : list of float
        Times of the engines' crashes, in seconds.
    engines : dict
        Engines by IP address.
    entries : dict
        EntryWorlds by IP address.
    sides : dict
        StreamOriginHolders of the side processes by IP address.
    drops_entries_at_once : bool
        Whether the entry of an engine that crashes is removed just before.
    loses_messages : bool
        Whether messages between entry processes are lost.
    loss_rate : float
        Share of the messages between entry processes that are lost otherwise.
    is_cut : callable
        Tells whether the link between two entry processes, by IP address, is cut.
    """

    def __init__(
        self,
        entries=4,
        engines=6,
        service="engines",
        versions=("v1",),
        domains=("north",),
        adapters=(),
        cold_rate=0.0,
        timeout=None,
        **settings,
    ):
        self._service = service
        self._domains = domains
        self._adapters = dict.fromkeys(adapters, 1)
        self._settings = settings
        services = [
            replace(each, cold_time=seconds(COLD_TIME), cold_rate=cold_rate)
            for each in CONFIGURATION.services
        ]
        self._configuration = replace(CONFIGURATION, services=tuple(services))
        if timeout is not None:
            self._change_timeout(timeout)
        self.time = VirtualTime()
        self.store = FakeStore()
        self.arrivals = []
        self.backoffs = []
        self.crashes = []
        self.engines = {}
        self.entries = {}
        self.sides = {}
        self.drops_entries_at_once = False
        self.loses_messages = False
        self.loss_rate = 0.0
        self.is_cut = lambda sender, receiver: False
        self._rng = random.Random(1)
        self._numbers = itertools.count(1)
        for number in range(1, engines + 1):
            version = versions[number % len(versions)]
            record = self.make_engine_record(f"10.0.0.{number}", version)
            self.engines[record.ip] = Engine(self, record)
            self.start_side(record.ip)
            self.store.write("replicas", record.id, record)
        for number in range(1, entries + 1):
            self.start_entry(f"10.0.1.{number}")

    @property
    def seconds(self):
        """Seconds since the start of the test."""
        return self.time.elapsed.total_seconds()

    def is_lost(self, sender, receiver):
        """Return whether the next message between two entry processes is lost."""
        if self.loses_messages or self.is_cut(sender, receiver):
            return True
        return self._rng.random() < self.loss_rate

    def _change_timeout(self, timeout):
        routes = tuple(
            replace(each, timeout=seconds(timeout))
            for each in self._configuration.routes
        )
        self._configuration = replace(
            self._configuration,
            version=self._configuration.version + 1,
            routes=routes,
        )

    def set_timeout(self, timeout):
        """Write a configuration whose routes allow a number of seconds."""
        self._change_timeout(timeout)
        self.store.write("configurations", "main", self._configuration)

    def set_first_start(self, is_first_start):
        """Set what the settings tell the entry processes that start from now on."""
        self._settings["is_first_start"] = is_first_start

    def remove_version(self, version):
        """End all engines of a software version, with their side processes."""
        for ip, engine in list(self.engines.items()):
            if engine.record.software_version != version:
                continue
            engine.is_up = False
            running, engine.running = list(engine.running), {}
            for exchange in running:
                exchange.break_off(self.make_loss_error())
            self.sides.pop(ip, None)
            self.store.write("replicas", engine.record.id, None)

    def release_version(self, version, count):
        """Start a number of engines of a software version, on VMs of their own."""
        for _ in range(count):
            record = self.make_engine_record(f"10.0.0.{100 + len(self.engines)}")
            record = replace(record, software_version=version)
            self.engines[record.ip] = Engine(self, record)
            self.start_side(record.ip)
            self.store.write("replicas", record.id, record)

    def start_side(self, ip):
        """Start the part of a side process that remembers streams, with no memory."""
        peers = FleetPeers(self, ip)
        self.sides[ip] = StreamOriginHolder(VirtualClock(self.time), peers.send)

    def tell_side(self, sender, ip, message):
        """Deliver a message of an entry process to a side process."""
        if ip in self.sides:
            self.sides[ip].receive(sender, message)

    def call_later(self, delay, function, *arguments):
        """Schedule a call after a number of seconds."""
        self.time.schedule(self.time.elapsed + seconds(delay), function, *arguments)

    def make_engine_record(self, ip, software_version="v1"):
        """Return the entry of an engine that has just started."""
        number = next(self._numbers)
        place = int(ip.rpartition(".")[2])
        return make_record(
            f"engine-{number}",
            self._service,
            place,
            born=number,
            software_version=software_version,
            failure_domain=self._domains[place % len(self._domains)],
        )

    def make_loss_error(self):
        """Return the error of an exchange whose engine has crashed."""
        return ConnectionLost("connection lost")

    def kill_entry(self, ip):
        """End an entry process with all its connections; return its EntryWorld."""
        world = self.entries.pop(ip)
        world.clock.kill()
        world.context.client.reset_connections()
        return world

    def start_entry(self, ip):
        """Start an entry process, in place of an earlier one at its address."""
        if ip in self.entries:
            self.entries[ip].clock.kill()
        world = EntryWorld(
            self.store, next(self._numbers), time=self.time, ip=ip, **self._settings
        )
        self.store.write("configurations", "main", self._configuration)
        world.context.client = EngineClient(self, ip)
        world.context.peers = FleetPeers(self, ip)
        self.entries[ip] = world
        world.core.start()
        self._tell_states(world)

    def _tell_states(self, world):
        """Report the engines' state to an entry process, as their side processes do."""
        for engine in self.engines.values():
            if engine.is_up and self._service == "engines":
                state = ReplicaState(engine.record.born, {MODEL: self._adapters})
                world.core.receive_message(engine.record.ip, state)
        world.clock.call_later(seconds(0.2), self._tell_states, world)

    def pass_time(self, duration):
        """Advance the virtual time by a number of seconds."""
        self.time.advance(seconds(duration))

    def find_arrivals(self, part, since=0.0):
        """Return the Arrivals with a prompt part after a time in seconds."""
        return [
            each for each in self.arrivals if part in each.parts and each.time > since
        ]

    def find_repeats(self, body, since=0.0):
        """Return the Arrivals with a body after a time in seconds."""
        return [
            each for each in self.arrivals if each.body == body and each.time > since
        ]
