"""Events that a process reports for its logs and metrics.

Event names and field names are the names in the logs.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from datetime import timedelta

ANSWERED = "answered"
"""Outcome of an attempt or request that was answered completely."""


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt at a replica ended.

    Attributes
    ----------
    request : str
        Id of the caller's request.
    replica : str
        Id of the replica.
    service : str
        Name of the replica's service.
    outcome : str
        ``answered``, or the class name of the error that ended the attempt.
    reason : str
        Text of that error; empty for an answer.
    status : int
        HTTP status of the replica's answer; 0 if none came.
    waited : timedelta
        Time from the start of the attempt to its end.
    predicted : timedelta
        Time to the first event that was predicted when the replica was chosen.
    backlog : int
        Prompt tokens known to be unread at the replica when the request was sent,
        including its own.
    state_age : timedelta or None
        Age of the last report of the replica's side process when the request was sent;
        None if there was no recent report.
    version : int or None
        Adapter version that the replica was asked to use; None if none was required.
    prompt_parts : tuple of str
        Ids of the parts of the prompt that other requests may share.
    fingerprint : str
        The same for requests of one team with the same content.
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
    prompt_parts: tuple[str, ...] = ()
    fingerprint: str = ""


@dataclass(frozen=True, slots=True)
class RequestEnded:
    """A request ended.

    Attributes
    ----------
    request : str
        Id of the request.
    route : str
        Name of its route; empty if the request ended before one was found.
    team : str
        Name of the caller's team; empty if not known.
    outcome : str
        ``answered``, or the class name of the error that ended the request.
    reason : str
        Text of that error, with the figures that led to it.
    status : int
        HTTP status of the answer; 0 if the caller disconnected before one was written.
    attempts : int
        Attempts that were sent to a replica and then refused by it, lost or overdue.
    configuration : int
        Version of the configuration in force; 0 if there was none.
    allowed : timedelta or None
        Time allowed for the whole answer: the shorter of the caller's and the route's
        timeout. None if the request ended before it was determined.
    duration : timedelta
        Time from the arrival of the request to its end.
    first_event : timedelta or None
        Time from the arrival of the request to a stream's first event; None if none
        was written.
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
    """Several requests ended alike within a second, too many for a line each.

    Attributes
    ----------
    route : str
        Name of their route, as in ``RequestEnded``.
    team : str
        Name of their team, as in ``RequestEnded``.
    outcome : str
        Their outcome, as in ``RequestEnded``.
    reason : str
        Reason of the first of them.
    status : int
        HTTP status of their answers.
    configuration : int
        Version of the configuration in force; 0 if there was none.
    requests : tuple of str
        Ids of the requests.
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
    """A newer configuration is in force in this process.

    Attributes
    ----------
    version : int
        Version of the configuration.
    """

    version: int


@dataclass(frozen=True, slots=True)
class ReplicasListed:
    """The complete list of replicas was read from the store.

    Attributes
    ----------
    count : int
        Number of replicas in the list.
    revision : int
        Revision of the store at which the list was read.
    """

    count: int
    revision: int


@dataclass(frozen=True, slots=True)
class ReplicaChanged:
    """A replica was added, is leaving or was removed.

    Attributes
    ----------
    replica : str
        Id of the replica.
    change : str
        ``new``, ``leaving`` or ``gone``.
    reason : str
        Observation from which the change follows.
    """

    replica: str
    change: str
    reason: str


@dataclass(frozen=True, slots=True)
class BackoffRequested:
    """A replica refused a request, and wants none for a time.

    Attributes
    ----------
    replica : str
        Id of the replica.
    duration : timedelta
        The time that it asked for.
    """

    replica: str
    duration: timedelta


@dataclass(frozen=True, slots=True)
class RateLimitNamed:
    """A replica takes no more than a rate of requests from all processes together.

    Attributes
    ----------
    replica : str
        Id of the replica.
    rate : float
        Requests a second.
    reason : str
        How this process learned it.
    """

    replica: str
    rate: float
    reason: str


@dataclass(frozen=True, slots=True)
class RateLimitLifted:
    """A replica takes requests without a limit again.

    Attributes
    ----------
    replica : str
        Id of the replica.
    reason : str
        How this process learned it.
    """

    replica: str
    reason: str


@dataclass(frozen=True, slots=True)
class HeaderUnreadable:
    """A header of an answer could not be read, and counts as absent.

    Attributes
    ----------
    source : str
        Id of the replica that sent it, or ``store``.
    header : str
        Name of the header.
    """

    source: str
    header: str


@dataclass(frozen=True, slots=True)
class AdapterAnnounced:
    """A version of an adapter was announced.

    Attributes
    ----------
    model : str
        Name of the base model.
    adapter : str
        Name of the adapter.
    version : int
        The announced version.
    """

    model: str
    adapter: str
    version: int


@dataclass(frozen=True, slots=True)
class EntriesListed:
    """The list of entry processes was read or changed.

    Attributes
    ----------
    count : int
        Entry processes that share the fleet's budgets, including this one.
    """

    count: int


@dataclass(frozen=True, slots=True)
class OrderGiven:
    """A side process sent an order to its replica.

    Attributes
    ----------
    kind : str
        ``load`` or ``unload``.
    model : str
        Name of the base model.
    adapter : str or None
        Name of the adapter; None if the order concerns the base model itself.
    version : int
        Version of the adapter; 0 for the newest.
    expected_orders : int
        Number of orders that the replica must have accepted before; otherwise it
        refuses this one.
    held : int
        Adapters that the replica held when the order was chosen.
    pending : int
        Adapters that the replica was loading when the order was chosen.
    outcome : str
        The replica's answer, or the class name of the error.
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
class PrefillRateLimitChanged:
    """A side process began, or ceased, to limit the prefill rate of its replica.

    Attributes
    ----------
    max_event_interval : timedelta or None
        Longest interval between the events of a stream to be kept; None if the rate is
        no longer limited.
    late_events : int
        Late events that were reported within the counting time.
    """

    max_event_interval: timedelta | None
    late_events: int


@dataclass(frozen=True, slots=True)
class ReplicaCrashed:
    """A replica ended while it ran a request, which may be the cause.

    Attributes
    ----------
    replica : str
        Id of the replica.
    request : str
        Id of the request.
    fingerprint : str
        The same for requests of one team with the same content.
    suspected_parts : tuple of str
        Ids of the request's shared prompt parts that were not answered lately.
    """

    replica: str
    request: str
    fingerprint: str
    suspected_parts: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PromptsQuarantined:
    """Prompts with certain parts are refused from now on.

    Attributes
    ----------
    parts : tuple of str
        Ids of the parts; a prompt that has all of them is refused.
    is_certain : bool
        Whether they are known to crash replicas; otherwise they are refused for a
        shorter time.
    reason : str
        How this process learned it.
    """

    parts: tuple[str, ...]
    is_certain: bool
    reason: str


@dataclass(frozen=True, slots=True)
class QuarantineLifted:
    """Prompts with certain parts are sent to replicas again.

    Attributes
    ----------
    parts : tuple of str
        Ids of the parts.
    reason : str
        Which answer showed that they crash no replica.
    """

    parts: tuple[str, ...]
    reason: str


@dataclass(frozen=True, slots=True)
class DependencyLost:
    """A dependency does not answer any more.

    Attributes
    ----------
    name : str
        ``store`` or ``replica``.
    reason : str
        Text of the error of the failed call.
    """

    name: str
    reason: str


@dataclass(frozen=True, slots=True)
class DependencyRegained:
    """A dependency answers again.

    Attributes
    ----------
    name : str
        ``store`` or ``replica``.
    """

    name: str


@dataclass(frozen=True, slots=True)
class StoreRestored:
    """The store was restored from an older copy; all records are read again.

    Attributes
    ----------
    previous_era : int
        Era of the store before.
    era : int
        Era of the store now.
    """

    previous_era: int
    era: int


@dataclass(frozen=True, slots=True)
class PeersAhead:
    """Requests are refused until the configuration that a peer has is known here.

    Attributes
    ----------
    version : int
        Version of the configuration here.
    peer_version : int
        Version of the configuration at the peer.
    """

    version: int
    peer_version: int


@dataclass(frozen=True, slots=True)
class ProgramFailed:
    """An exception was not handled, which is a bug.

    Attributes
    ----------
    traceback : str
        Traceback of the exception.
    """

    traceback: str


class Observer(ABC):
    """Receiver of the events of this module."""

    @abstractmethod
    def observe(self, event):
        """Process an event."""


class Observers(Observer):
    """Observer that passes events on to several others."""

    def __init__(self, *observers):
        self._observers = observers

    def observe(self, event):
        """Pass an event on to each observer in turn."""
        for observer in self._observers:
            observer.observe(event)
