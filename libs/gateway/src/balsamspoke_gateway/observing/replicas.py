"""Events of replicas, and of what they say of themselves."""

from dataclasses import dataclass
from datetime import timedelta


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
class ReplicaMissing:
    """The entry of a replica is missing, and the replica stays in use for a time.

    Attributes
    ----------
    replica : str
        Id of the replica.
    time_left : float
        Seconds until it counts as gone, unless its entry is written again.
    """

    replica: str
    time_left: float


@dataclass(frozen=True, slots=True)
class BackoffRequested:
    """A replica refused a request, and wants none for a time.

    Attributes
    ----------
    replica : str
        Id of the replica; ``replica`` at the side process on its VM.
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
class DomainDrained:
    """The operator drains a failure domain: its replicas get no new requests.

    Attributes
    ----------
    domain : str
        Name of the failure domain.
    replicas : int
        Replicas that are known there.
    reason : str
        How this process learned it.
    """

    domain: str
    replicas: int
    reason: str


@dataclass(frozen=True, slots=True)
class DomainReturned:
    """A failure domain is drained no longer: its replicas get requests again.

    Attributes
    ----------
    domain : str
        Name of the failure domain.
    duration : timedelta
        Time for which it was drained, as seen by this process.
    placed_elsewhere : int
        Requests of this process that were sent to other domains meanwhile, for services
        that have replicas there.
    reason : str
        How this process learned it.
    """

    domain: str
    duration: timedelta
    placed_elsewhere: int
    reason: str


@dataclass(frozen=True, slots=True)
class PreloadStarted:
    """Adapters that a drained failure domain holds are loaded elsewhere in advance.

    Attributes
    ----------
    domain : str
        Name of the failure domain.
    adapters : int
        Adapters there that are in demand at this process; those that other domains
        hold are not loaded.
    """

    domain: str
    adapters: int


@dataclass(frozen=True, slots=True)
class DrainUnclear:
    """An object that drains a failure domain is in force, but not as expected.

    Attributes
    ----------
    domain : str
        Name of the failure domain.
    reason : str
        What is wrong with it.
    """

    domain: str
    reason: str


@dataclass(frozen=True, slots=True)
class ReplicaTurnedCold:
    """A replica is cold: it takes few requests for a time.

    Attributes
    ----------
    replica : str
        Id of the replica.
    duration : timedelta
        The time from now.
    reason : str
        How this process learned it.
    """

    replica: str
    duration: timedelta
    reason: str


@dataclass(frozen=True, slots=True)
class ReplicaTurnedWarm:
    """A replica takes its usual requests again.

    Attributes
    ----------
    replica : str
        Id of the replica.
    withheld : int
        Requests of this process that asked for a permit in vain while it was cold.
        After each, others went elsewhere for the time until the next permit.
    """

    replica: str
    withheld: int


@dataclass(frozen=True, slots=True)
class ReplicaSpeedChanged:
    """Work at a replica takes longer or shorter than before, as a rule.

    Attributes
    ----------
    replica : str
        Id of the replica.
    service : str
        Name of its service.
    slowdown : float
        Time that work takes there, as a multiple of the usual time.
    """

    replica: str
    service: str
    slowdown: float


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
class AdaptersRefused:
    """The adapters that a side process doesn't load, as they may crash its replica.

    Attributes
    ----------
    adapters : tuple of str
        All of them, as ``model/name``; empty if there is none any more.
    """

    adapters: tuple[str, ...]


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
