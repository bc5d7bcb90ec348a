"""Entry processes whose replicas fail requests, judged by the fleet's retry budget."""

from bisect import bisect_left
from dataclasses import dataclass

from balsamspoke_fakes import VirtualTime
from balsamspoke_gateway.exceptions import AnswerLost, NotSent
from balsamspoke_gateway.peers.standing import Standing
from twisted.internet.defer import succeed

from .scripted_replicas import Answer, ScriptedClient, ScriptedExchange
from .world import LONG_RUNNING, World, make_record, seconds

# Bounds of the deployment: retries in any window of so many seconds, as a ratio of the
# requests and as a number beyond that.
RATIO = 0.2
EXTRA = 50.0
WINDOW = 10.0
LOST = AnswerLost("reset")
UNREACHABLE = NotSent("connection refused")


@dataclass(frozen=True, slots=True)
class Overrun:
    """A window in which more retries arrived than the budget allows.

    Attributes
    ----------
    begin : float
        Start of the window in seconds.
    retries : int
        Arrivals in the window beyond the first of their request.
    allowed : float
        Retries that the budget allows.
    """

    begin: float
    retries: int
    allowed: float


class FailingClient(ScriptedClient):
    """Client of replicas that give answers chosen by a fleet, and count arrivals."""

    def __init__(self, fleet):
        super().__init__()
        self._fleet = fleet

    def send(self, record, request):
        answer = self._fleet.choose_answer(record.id)
        if not isinstance(answer.error, NotSent):
            self._fleet.record_arrival(request.caller.id)
        exchange = ScriptedExchange(answer)
        self.exchanges.append(exchange)
        return exchange

    def is_refusing(self, record):
        return succeed(False)


class RetryFleet:
    """Entry processes with replicas of their own that answer alike.

    Parameters
    ----------
    processes : int
        Number of entry processes.
    replicas : int
        Replicas that each process knows.
    age : float
        Seconds for which the processes have been running.
    knows_peers : bool
        Whether processes that start from now on know all others.

    Attributes
    ----------
    answers : dict
        Answers by replica id; others are answered with success.
    requests, retries : list of float
        Times in seconds of the callers' requests, and of arrivals beyond the first of
        their request.
    served : int
        Requests that were answered with success.
    """

    def __init__(self, processes, replicas=4, age=LONG_RUNNING, knows_peers=True):
        self.time = VirtualTime()
        self.knows_peers = knows_peers
        self.answers = {}
        self.requests, self.retries = [], []
        self._sinks = []
        self._arrived = set()
        self._names = [f"replica-{number}" for number in range(replicas)]
        self._ips = [f"10.{n // 250 + 1}.0.{n % 250}" for n in range(processes)]
        self.worlds = {}
        for ip in self._ips:
            self.start(ip)
        self.pass_time(age)

    @property
    def seconds(self):
        """Seconds since the start of the test."""
        return self.time.elapsed.total_seconds()

    @property
    def ips(self):
        """IP addresses of the processes."""
        return list(self._ips)

    @property
    def served(self):
        """Requests that were answered with success."""
        return sum(each.status == 200 for each in self._sinks)

    def fail_replicas(self, answer, count=None):
        """Let the first replicas (all by default) give an answer from now on."""
        for name in self._names[:count]:
            self.answers[name] = answer

    def choose_answer(self, replica):
        """Return the Answer of a replica to the next attempt."""
        return self.answers.get(replica) or Answer()

    def record_arrival(self, request_id):
        """Record that an attempt has arrived at a replica."""
        if request_id in self._arrived:
            self.retries.append(self.seconds)
        self._arrived.add(request_id)

    def start(self, ip):
        """Start a process, in place of an earlier one at its address."""
        if ip in self.worlds:
            self.worlds[ip].clock.kill()
        world = World(self.time, ip, age=0.0)
        world.context.client = FailingClient(self)
        for number, name in enumerate(self._names):
            world.add(make_record(name, number=number))
        world.context.standing = Standing()
        if self.knows_peers:
            peers = [each for each in self._ips if each != ip]
            world.context.peer_ips = peers
            world.context.standing = Standing(len(self._ips), is_settled=True)
        self.worlds[ip] = world

    def restart_all(self):
        """Kill all processes and start them anew."""
        for ip in self._ips:
            self.start(ip)

    def send(self, ip, count=1, route="safe"):
        """Send requests to a process."""
        for _ in range(count):
            request_id = f"request-{len(self.requests)}"
            self.requests.append(self.seconds)
            sink, _ = self.worlds[ip].send(route, request_id=request_id)
            self._sinks.append(sink)

    def send_to_all(self, count=1, route="safe"):
        """Send requests to each process."""
        for ip in self._ips:
            self.send(ip, count, route)

    def pass_time(self, duration):
        """Advance the virtual time by a number of seconds."""
        self.time.advance(seconds(duration))

    def find_overrun(self):
        """Return the Overrun of the window with the largest excess, or None.

        The requests are those of the window, of the one before it or of the one half a
        window before it, whichever has most.
        """
        worst = None
        for begin in self.retries:
            retries = _count(self.retries, begin, begin + WINDOW)
            starts = (begin - WINDOW, begin - WINDOW / 2, begin)
            most = max(_count(self.requests, each, each + WINDOW) for each in starts)
            overrun = Overrun(begin, retries, RATIO * most + EXTRA)
            excess = overrun.retries - overrun.allowed
            if excess > 0 and (worst is None or excess > worst.retries - worst.allowed):
                worst = overrun
        return worst


def _count(times, begin, end):
    """Return how many sorted times are in [begin, end)."""
    return bisect_left(times, end) - bisect_left(times, begin)
