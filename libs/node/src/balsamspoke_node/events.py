"""Events that a node core reports for logs, metrics and request explanations."""

from dataclasses import dataclass
from datetime import timedelta

from balsamspoke_gateway.observing import Observer
from balsamspoke_types.objects import Kind, PriorityClass
from balsamspoke_types.outcomes import Refusal


@dataclass(frozen=True, slots=True)
class RequestEnded:
    """A caller's request has ended: it was answered, refused or cancelled.

    Attributes
    ----------
    request : str
        Id of the request.
    team : str
        Team of the request; empty for a request without a key.
    target : str
        Adapter with version, base model or plain service that it was for.
    priority : PriorityClass
        Priority class of the request.
    refusal : Refusal or None
        None if the answer was complete.
    duration : timedelta
        Time from the arrival of the request to its end.
    first_token : timedelta or None
        Time from the arrival of the request to its first token; None without one.
    tokens : int
        Number of generated tokens.
    longest_gap : timedelta or None
        Longest time between two arrivals of tokens; None with fewer than two.
    """

    request: str
    team: str
    target: str
    priority: PriorityClass
    refusal: Refusal | None
    duration: timedelta
    first_token: timedelta | None = None
    tokens: int = 0
    longest_gap: timedelta | None = None


@dataclass(frozen=True, slots=True)
class TokensGap:
    """A sampled time between two arrivals of tokens of one answer.

    Attributes
    ----------
    team : str
        Team of the request; empty for a request without a key.
    gap : timedelta
        Time since the previous arrival of tokens.
    """

    team: str
    gap: timedelta


@dataclass(frozen=True, slots=True)
class CatalogueChanged:
    """Another version of an object has come into force at this process.

    Attributes
    ----------
    kind : Kind
        Kind of the object.
    name : str
        Name of the object.
    version : int
        Version that is in force now.
    """

    kind: Kind
    name: str
    version: int


@dataclass(frozen=True, slots=True)
class StopStarted:
    """A planned stop has begun, and the process reports itself not ready."""


class NullObserver(Observer):
    """An observer that discards all events."""

    def observe(self, event):
        """Discard the event."""
