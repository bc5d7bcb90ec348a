"""Order in which queued requests are handed to the engine."""

from abc import ABC, abstractmethod
from collections import OrderedDict, deque
from dataclasses import dataclass
from datetime import timedelta

from balsamspoke_types.identifiers import ProcessId
from balsamspoke_types.messages import RunGeneration
from balsamspoke_types.objects import PriorityClass

PROMPT_BYTES_PER_TOKEN = 4
MIN_WEIGHT = 0.01
MAX_IDLE_TEAMS = 4096

PRIORITY_RANKS = {
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

    message: RunGeneration
    peer: ProcessId
    arrival: timedelta
    deadline: timedelta
    tokens: int


def count_tokens(message):
    """Return the tokens that a RunGeneration may cost."""
    prompt = len(message.body) // PROMPT_BYTES_PER_TOKEN
    return prompt + max(0, message.max_tokens - message.resume_offset)


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
    def charge(self, message, tokens):
        """Count tokens as served to the team of a RunGeneration; may be negative."""


class FifoQueue(QueuePolicy):
    """First come, first served among requests whose adapter is loaded."""

    def __init__(self):
        self._requests = OrderedDict()
        self._counts = {}

    def add(self, request):
        """Queue a request behind all others."""
        self._requests[request] = None
        adapter = request.message.adapter
        self._counts[adapter] = self._counts.get(adapter, 0) + 1

    def remove(self, request):
        """Take a request out."""
        del self._requests[request]
        adapter = request.message.adapter
        self._counts[adapter] -= 1
        if not self._counts[adapter]:
            del self._counts[adapter]

    def select(self, now, runnable):
        """Return the oldest request that can be started."""
        for request in self._requests:
            if request.message.adapter in runnable:
                return request
        return None

    def order_adapters(self, now):
        """Return adapters by the arrival of their first request."""
        first = {}
        for request in self._requests:
            first.setdefault(request.message.adapter, request.arrival)
        return list(first.items())

    def count(self, adapter):
        """Return the number of requests queued for an adapter."""
        return self._counts.get(adapter, 0)

    def charge(self, message, tokens):
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
        self._subqueues = {}
        self._queued_counts = {}
        self._weighted_tokens = {}
        self._minimum_weighted = 0.0

    def add(self, request):
        """Queue a request."""
        message = request.message
        subqueues = self._subqueues.setdefault(message.adapter, {})
        subqueue = subqueues.setdefault((message.team, message.priority), deque())
        _insert_by_arrival(subqueue, request)
        if message.team not in self._queued_counts:
            self._activate_team(message.team)
        self._queued_counts[message.team] = self._queued_counts.get(message.team, 0) + 1

    def remove(self, request):
        """Take a request out."""
        message = request.message
        subqueues = self._subqueues[message.adapter]
        subqueue = subqueues[message.team, message.priority]
        subqueue.remove(request)
        if not subqueue:
            del subqueues[message.team, message.priority]
        if not subqueues:
            del self._subqueues[message.adapter]
        self._queued_counts[message.team] -= 1
        if not self._queued_counts[message.team]:
            del self._queued_counts[message.team]

    def select(self, now, runnable):
        """Return the request of the most urgent class and least served team."""
        candidates = [
            subqueue[0]
            for adapter in runnable
            for subqueue in self._subqueues.get(adapter, {}).values()
        ]
        if not candidates:
            return None
        self._raise_minimum()
        return min(candidates, key=lambda request: self._get_urgency(request, now))

    def order_adapters(self, now):
        """Return adapters by the urgency of their most urgent request."""
        ranked = [
            (self._get_highest_urgency(subqueues, now), adapter)
            for adapter, subqueues in self._subqueues.items()
        ]
        ranked.sort(key=_get_ranking_key)
        return [(adapter, key[2]) for key, adapter in ranked]

    def count(self, adapter):
        """Return the number of requests queued for an adapter."""
        return sum(
            len(subqueue) for subqueue in self._subqueues.get(adapter, {}).values()
        )

    def charge(self, message, tokens):
        """Count tokens as served to the team of a RunGeneration."""
        weighted = self._weighted_tokens.get(message.team, self._minimum_weighted)
        self._weighted_tokens[message.team] = weighted + tokens / max(
            message.weight, MIN_WEIGHT
        )

    def _get_highest_urgency(self, subqueues, now):
        if len(subqueues) == 1:
            (subqueue,) = subqueues.values()
            return self._get_urgency(subqueue[0], now)
        return min(
            self._get_urgency(subqueue[0], now) for subqueue in subqueues.values()
        )

    def _get_urgency(self, request, now):
        message = request.message
        promotions = int((now - request.arrival) / self._aging_time)
        rank = max(0, PRIORITY_RANKS[message.priority] - promotions)
        return (
            rank,
            self._weighted_tokens.get(message.team, self._minimum_weighted),
            request.arrival,
        )

    def _activate_team(self, team):
        self._raise_minimum()
        self._weighted_tokens[team] = max(
            self._weighted_tokens.get(team, 0.0), self._minimum_weighted
        )
        if len(self._weighted_tokens) > MAX_IDLE_TEAMS + len(self._queued_counts):
            self._drop_idle_teams()

    def _raise_minimum(self):
        if self._queued_counts:
            lowest = min(
                self._weighted_tokens.get(team, 0.0) for team in self._queued_counts
            )
            self._minimum_weighted = max(self._minimum_weighted, lowest)

    def _drop_idle_teams(self):
        idle = [
            team for team in self._weighted_tokens if team not in self._queued_counts
        ]
        for team in idle:
            if self._weighted_tokens[team] <= self._minimum_weighted:
                del self._weighted_tokens[team]


def _get_ranking_key(ranked):
    return ranked[0]


def _insert_by_arrival(subqueue, request):
    if subqueue and subqueue[0].arrival > request.arrival:
        subqueue.appendleft(request)
    else:
        subqueue.append(request)
