"""Receivers of events."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class ProgramFailed:
    """An exception was not handled, which is a bug.

    Attributes
    ----------
    traceback : str
        Traceback of the exception.
    """

    traceback: str


@dataclass(frozen=True, slots=True)
class TimersLate:
    """The process's timers ran late; written once in ten seconds at most.

    Attributes
    ----------
    lateness : timedelta
        The longest since the last line.
    """

    lateness: timedelta


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
