"""Queues and the policies that order the requests for an engine."""

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
    """A RunGeneration in the queue of an engine.

    Attributes
    ----------
    message : RunGeneration
        The request as received.
    peer : ProcessId
        The entry process that sent it.
    arrival : timedelta
        Monotonic time at which the request was received.
    deadline : timedelta
        Monotonic time at which it is refused if it is still queued.
    tokens : int
        Estimated tokens of the prompt plus the most tokens left to generate.
    """

    message: RunGeneration
    peer: ProcessId
    arrival: timedelta
    deadline: timedelta
    tokens: int


def count_tokens(message):
    """Return the most tokens that a RunGeneration can use.

    The prompt is estimated from the size of the body, at 4 bytes a token.
    """
    prompt = len(message.body) // PROMPT_BYTES_PER_TOKEN
    return prompt + max(0, message.max_tokens - message.resume_offset)


class QueuePolicy(ABC):
    """Choose the next queued request to hand to the engine."""

    @abstractmethod
    def add(self, request):
        """Add a QueuedRequest to the queue."""

    @abstractmethod
    def remove(self, request):
        """Remove a QueuedRequest from the queue."""

    @abstractmethod
    def select(self, now, runnable):
        """Return the next QueuedRequest without removing it, or None.

        Parameters
        ----------
        now : timedelta
            Monotonic time.
        runnable : collection of AdapterRef or None
            Adapters on which requests can start; None stands for the base model.
        """

    @abstractmethod
    def order_adapters(self, now):
        """Return the adapters with queued requests, the most urgent first.

        Returns
        -------
        list of tuple
            Pairs of an AdapterRef, or None for the base model, and the arrival of
            its most urgent request.
        """

    @abstractmethod
    def count(self, adapter):
        """Return the number of requests queued for an adapter."""

    @abstractmethod
    def charge(self, message, tokens):
        """Count tokens as served to the team of a RunGeneration.

        Parameters
        ----------
        message : RunGeneration
            Names the team and its weight.
        tokens : int
            Number of tokens; negative to refund tokens that were charged at the
            hand-over and not produced.
        """


class FifoQueue(QueuePolicy):
    """Serve requests in order of arrival, among those whose adapter is loaded."""

    def __init__(self):
        self._requests = OrderedDict()
        self._counts = {}

    def add(self, request):
        """Append a request."""
        self._requests[request] = None
        adapter = request.message.adapter
        self._counts[adapter] = self._counts.get(adapter, 0) + 1

    def remove(self, request):
        """Remove a request."""
        del self._requests[request]
        adapter = request.message.adapter
        self._counts[adapter] -= 1
        if not self._counts[adapter]:
            del self._counts[adapter]

    def select(self, now, runnable):
        """Return the oldest request whose adapter is runnable."""
        for request in self._requests:
            if request.message.adapter in runnable:
                return request
        return None

    def order_adapters(self, now):
        """Return adapters in the order in which their first requests were added."""
        first = {}
        for request in self._requests:
            first.setdefault(request.message.adapter, request.arrival)
        return list(first.items())

    def count(self, adapter):
        """Return the number of requests queued for an adapter."""
        return self._counts.get(adapter, 0)

    def charge(self, message, tokens):
        """Ignore the tokens; the order depends on arrival alone."""


class FairQueue(QueuePolicy):
    """Order requests by priority class, then by weighted fairness among teams.

    Parameters
    ----------
    aging_time : timedelta
        Waiting time after which a request moves up by one priority class; it can
        move up several times, up to the most urgent class.

    Notes
    -----
    Each team has a counter of served tokens divided by its weight; within a class
    the team with the lowest counter goes first, and equal counters go by arrival.
    The counter of a team that starts to queue is raised to a minimum that follows
    the lowest counter of the teams with queued requests and never falls, so idle
    time gives a team no advantage.
    """

    def __init__(self, aging_time):
        self._aging_time = aging_time
        self._subqueues = {}
        self._queued_counts = {}
        self._weighted_tokens = {}
        self._minimum_weighted = 0.0

    def add(self, request):
        """Add a request to the subqueue of its adapter, team and class."""
        message = request.message
        subqueues = self._subqueues.setdefault(message.adapter, {})
        subqueue = subqueues.setdefault((message.team, message.priority), deque())
        _insert_by_arrival(subqueue, request)
        if message.team not in self._queued_counts:
            self._activate_team(message.team)
        self._queued_counts[message.team] = self._queued_counts.get(message.team, 0) + 1

    def remove(self, request):
        """Remove a request."""
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
        """Return the runnable request that is first by class, fairness and arrival."""
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
        """Return adapters in the order of their most urgent requests."""
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
        """Add tokens, divided by the team's weight, to the counter of the team."""
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
