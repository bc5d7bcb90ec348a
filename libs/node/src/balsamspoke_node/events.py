"""What a node core tells its observer, for logs, metrics and explanations."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from datetime import timedelta

from balsamspoke_types.objects import Kind, PriorityClass
from balsamspoke_types.outcomes import Refusal


@dataclass(frozen=True, slots=True)
class RequestEnded:
    """A caller's request got its final answer.

    Attributes
    ----------
    request : str
        Id of the request.
    team : str
        Whose it was; empty without a key.
    target : str
        Adapter and version, model, or plain service.
    priority : PriorityClass
        Class of the request.
    refusal : Refusal or None
        None if it was answered.
    duration : timedelta
        From its arrival.
    first_token : timedelta or None
        From its arrival; None if there was none.
    tokens : int
        Generated tokens.
    longest_gap : timedelta or None
        Longest time between tokens.
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
    """Time between two tokens of one answer; a sample of all of them is observed."""

    team: str
    gap: timedelta


@dataclass(frozen=True, slots=True)
class CatalogueChanged:
    """Another version of an object is in force here."""

    kind: Kind
    name: str
    version: int


@dataclass(frozen=True, slots=True)
class StopStarted:
    """A planned stop began; readiness is off."""


class Observer(ABC):
    """What is told of every event worth explaining."""

    @abstractmethod
    def observe(self, event):
        """Take one of the events, a frozen data class."""


class SilentObserver(Observer):
    """An observer that does nothing."""

    def observe(self, event):
        """Drop the event."""


class ObserverGroup(Observer):
    """Pass events on to several observers."""

    def __init__(self, *observers):
        self._observers = observers

    def observe(self, event):
        """Pass the event on."""
        for observer in self._observers:
            observer.observe(event)
