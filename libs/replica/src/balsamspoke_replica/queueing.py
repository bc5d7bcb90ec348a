"""Order in which queued requests are handed to the engine."""

from abc import ABC, abstractmethod
from collections import OrderedDict, deque
from dataclasses import dataclass
from datetime import timedelta

from balsamspoke_types.identifiers import ProcessId
from balsamspoke_types.messages import RunGeneration
from balsamspoke_types.objects import PriorityClass

PROMPT_BYTES_PER_TOKEN = 4
LEAST_WEIGHT = 0.01
MOST_IDLE_TEAMS = 4096

RANKS = {
    PriorityClass.INTERACTIVE: 0,
    PriorityClass.STANDARD: 1,
    PriorityClass.BATCH: 2,
}


@dataclass(frozen=True, slots=True, eq=False)
class QueuedRequest:
    """A request that waits for the engine.

    Attributes
    ----------
    order : RunGeneration
        The request.
    peer : ProcessId
        The entry process that sent it.
    arrival, deadline : timedelta
        Monotonic times.
    tokens : int
        Tokens of prompt and answer that it may cost.
    """

    order: RunGeneration
    peer: ProcessId
    arrival: timedelta
    deadline: timedelta
    tokens: int


def count_tokens(order):
    """Return the tokens that a RunGeneration may cost."""
    prompt = len(order.body) // PROMPT_BYTES_PER_TOKEN
    return prompt + max(0, order.max_tokens - order.resume_offset)


class QueuePolicy(ABC):
    """Choose the queued request that is handed to the engine next."""

    @abstractmethod
    def add(self, request):
        """Queue a QueuedRequest."""

    @abstractmethod
    def remove(self, request):
        """Take a QueuedRequest out."""

    @abstractmethod
    def select(self, now, runnable):
        """Return the next QueuedRequest, still queued, or None.

        Parameters
        ----------
        now : timedelta
            Monotonic time.
        runnable : collection of AdapterRef or None
            Adapters that requests can be started on; None is the base model.
        """

    @abstractmethod
    def order_adapters(self, now):
        """Return (adapter, arrival of its most urgent request) pairs, in order."""

    @abstractmethod
    def count(self, adapter):
        """Return the number of requests queued for an adapter."""

    @abstractmethod
    def charge(self, order, tokens):
        """Count tokens as served to the team of a RunGeneration; may be negative."""


class FifoQueue(QueuePolicy):
    """First come, first served among requests whose adapter is loaded."""

    def __init__(self):
        self._requests = OrderedDict()
        self._counts = {}

    def add(self, request):
        """Queue a request behind all others."""
        self._requests[request] = None
        adapter = request.order.adapter
        self._counts[adapter] = self._counts.get(adapter, 0) + 1

    def remove(self, request):
        """Take a request out."""
        del self._requests[request]
        adapter = request.order.adapter
        self._counts[adapter] -= 1
        if not self._counts[adapter]:
            del self._counts[adapter]

    def select(self, now, runnable):
        """Return the oldest request that can be started."""
        for request in self._requests:
            if request.order.adapter in runnable:
                return request
        return None

    def order_adapters(self, now):
        """Return adapters by the arrival of their first request."""
        first = {}
        for request in self._requests:
            first.setdefault(request.order.adapter, request.arrival)
        return list(first.items())

    def count(self, adapter):
        """Return the number of requests queued for an adapter."""
        return self._counts.get(adapter, 0)

    def charge(self, order, tokens):
        """Do nothing."""


class FairQueue(QueuePolicy):
    """Classes first, then teams by the tokens served to each, then arrival.

    Parameters
    ----------
    aging_time : timedelta
        A request counts as one class more urgent for each such wait, up to the
        most urgent class.

    Notes
    -----
    Each team has a counter of the tokens served to it over its weight. A team that
    begins to wait starts from the lowest counter of those that wait, so that idle
    time earns nothing.
    """

    def __init__(self, aging_time):
        self._aging_time = aging_time
        self._lanes = {}
        self._waiting = {}
        self._served = {}
        self._floor = 0.0

    def add(self, request):
        """Queue a request."""
        order = request.order
        lanes = self._lanes.setdefault(order.adapter, {})
        lane = lanes.setdefault((order.team, order.priority), deque())
        _insert_by_arrival(lane, request)
        if order.team not in self._waiting:
            self._activate(order.team)
        self._waiting[order.team] = self._waiting.get(order.team, 0) + 1

    def remove(self, request):
        """Take a request out."""
        order = request.order
        lanes = self._lanes[order.adapter]
        lane = lanes[order.team, order.priority]
        lane.remove(request)
        if not lane:
            del lanes[order.team, order.priority]
        if not lanes:
            del self._lanes[order.adapter]
        self._waiting[order.team] -= 1
        if not self._waiting[order.team]:
            del self._waiting[order.team]

    def select(self, now, runnable):
        """Return the request of the most urgent class and least served team."""
        heads = [
            lane[0]
            for adapter in runnable
            for lane in self._lanes.get(adapter, {}).values()
        ]
        if not heads:
            return None
        self._raise_floor()
        return min(heads, key=lambda request: self._get_key(request, now))

    def order_adapters(self, now):
        """Return adapters by the urgency of their most urgent request."""
        ranked = [
            (self._get_first_key(lanes, now), adapter)
            for adapter, lanes in self._lanes.items()
        ]
        ranked.sort(key=_get_sort_key)
        return [(adapter, key[2]) for key, adapter in ranked]

    def count(self, adapter):
        """Return the number of requests queued for an adapter."""
        return sum(len(lane) for lane in self._lanes.get(adapter, {}).values())

    def charge(self, order, tokens):
        """Count tokens as served to the team of a RunGeneration."""
        served = self._served.get(order.team, self._floor)
        self._served[order.team] = served + tokens / max(order.weight, LEAST_WEIGHT)

    def _get_first_key(self, lanes, now):
        if len(lanes) == 1:
            (lane,) = lanes.values()
            return self._get_key(lane[0], now)
        return min(self._get_key(lane[0], now) for lane in lanes.values())

    def _get_key(self, request, now):
        order = request.order
        aged = int((now - request.arrival) / self._aging_time)
        rank = max(0, RANKS[order.priority] - aged)
        return rank, self._served.get(order.team, self._floor), request.arrival

    def _activate(self, team):
        self._raise_floor()
        self._served[team] = max(self._served.get(team, 0.0), self._floor)
        if len(self._served) > MOST_IDLE_TEAMS + len(self._waiting):
            self._drop_idle_teams()

    def _raise_floor(self):
        if self._waiting:
            lowest = min(self._served.get(team, 0.0) for team in self._waiting)
            self._floor = max(self._floor, lowest)

    def _drop_idle_teams(self):
        idle = [team for team in self._served if team not in self._waiting]
        for team in idle:
            if self._served[team] <= self._floor:
                del self._served[team]


def _get_sort_key(ranked):
    return ranked[0]


def _insert_by_arrival(lane, request):
    if lane and lane[0].arrival > request.arrival:
        lane.appendleft(request)
    else:
        lane.append(request)
