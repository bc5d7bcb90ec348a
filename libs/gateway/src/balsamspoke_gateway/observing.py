"""What a process tells of its decisions, for logs and metrics."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from datetime import timedelta

ANSWERED = "answered"
"""Outcome of an attempt or a request that came to its whole answer."""


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt at a replica came to its end.

    Attributes
    ----------
    request, replica, service : str
        Which.
    outcome : str
        ``answered``, or the name of the error.
    reason : str
        The error's text.
    status : int
        HTTP status of the replica; 0 if none came.
    waited : timedelta
        Since the attempt began.
    predicted : timedelta
        The wait that the choice of this replica rested on.
    backlog : int
        Prompt tokens not read yet that were known there, this request's included.
    state_age : timedelta or None
        Age of what the side process had told; None if it was not heard.
    version : int or None
        Adapter version that was asked for.
    """

    request: str
    replica: str
    service: str
    outcome: str
    reason: str
    status: int
    waited: timedelta
    predicted: timedelta
    backlog: int
    state_age: timedelta | None
    version: int | None


@dataclass(frozen=True, slots=True)
class RequestEnded:
    """A request got its final answer.

    Attributes
    ----------
    request, route, team : str
        Which; empty if not known.
    outcome : str
        ``answered``, or the name of the error that it ended with.
    reason : str
        The error's text, with the figures that decided it.
    status : int
        HTTP status of the answer; 0 if the caller left before.
    attempts : int
        Attempts that were sent and did not answer.
    configuration : int
        Version in force; 0 if none was known.
    allowed : timedelta or None
        Time for the whole answer: the shorter of the caller's and the route's.
    duration, first_event : timedelta
        From the request to the end and to a stream's first event (None if none).
    """

    request: str
    route: str
    team: str
    outcome: str
    reason: str
    status: int
    attempts: int
    configuration: int
    allowed: timedelta | None
    duration: timedelta
    first_event: timedelta | None = None


@dataclass(frozen=True, slots=True)
class RequestsEnded:
    """Several requests ended alike in the last second, too many for a line each.

    Attributes
    ----------
    route, team, outcome : str
        As in a line on one request.
    reason : str
        Of the first of them.
    status : int
        HTTP status of the answers.
    configuration : int
        Version in force; 0 if none was known.
    requests : tuple of str
        Ids.
    """

    route: str
    team: str
    outcome: str
    reason: str
    status: int
    configuration: int
    requests: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ConfigurationAdopted:
    """A newer configuration is in force in this process."""

    version: int


@dataclass(frozen=True, slots=True)
class ReplicasListed:
    """The whole list of replicas was read: how many, at which revision."""

    count: int
    revision: int


@dataclass(frozen=True, slots=True)
class ReplicaChanged:
    """A replica is believed to be new, leaving or gone (change).

    Attributes
    ----------
    replica, change : str
        Which, and what it is now.
    reason : str
        What told so.
    """

    replica: str
    change: str
    reason: str


@dataclass(frozen=True, slots=True)
class AdapterAnnounced:
    """A newer version of an adapter is to be used."""

    model: str
    adapter: str
    version: int


@dataclass(frozen=True, slots=True)
class EntriesListed:
    """How many entry processes share the budgets, this one included."""

    count: int


@dataclass(frozen=True, slots=True)
class OrderGiven:
    """A side process gave an order to its replica.

    Attributes
    ----------
    kind, model : str
        What to do with what.
    adapter : str or None
        Adapter of the model; None for the model itself.
    version : int
        Of the adapter; 0 for the newest.
    expected_orders : int
        The count of orders that the order rested on.
    held, pending : int
        Adapters in place and on their way then.
    outcome : str
        The replica's answer, or the name of the error.
    """

    kind: str
    model: str
    adapter: str | None
    version: int
    expected_orders: int
    held: int
    pending: int
    outcome: str


@dataclass(frozen=True, slots=True)
class DependencyLost:
    """A dependency answers no more."""

    name: str
    reason: str


@dataclass(frozen=True, slots=True)
class DependencyRegained:
    """A dependency answers again."""

    name: str


@dataclass(frozen=True, slots=True)
class ProgramFailed:
    """An error that nothing has handled: a bug, with its traceback."""

    traceback: str


class Observer(ABC):
    """Takes what happens."""

    @abstractmethod
    def observe(self, event):
        """Take one of this module's events."""


class Observers(Observer):
    """Several observers as one."""

    def __init__(self, *observers):
        self._observers = observers

    def observe(self, event):
        """Pass an event on to each."""
        for observer in self._observers:
            observer.observe(event)
