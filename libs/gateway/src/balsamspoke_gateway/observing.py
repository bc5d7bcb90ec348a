"""What an entry process tells of its decisions, for logs and metrics."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt at a replica came to its end.

    Attributes
    ----------
    request, replica, service : str
        Which.
    outcome : str
        Name of the error, or ``answered``.
    status : int
        HTTP status of the replica; 0 if none came.
    waited : timedelta
        Since the attempt began.
    state_age : timedelta or None
        Age of what was known of the replica's load; None if nothing was.
    """

    request: str
    replica: str
    service: str
    outcome: str
    status: int
    waited: timedelta
    predicted: timedelta


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
        The error's text.
    status : int
        HTTP status of the answer; 0 if the caller left before.
    attempts : int
        Attempts that were sent.
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
    duration: timedelta
    first_event: timedelta | None = None


@dataclass(frozen=True, slots=True)
class BeliefChanged:
    """What this process believes has changed: of what, and to what."""

    subject: str
    value: str


@dataclass(frozen=True, slots=True)
class DependencyLost:
    """A dependency answers no more."""

    name: str
    reason: str


@dataclass(frozen=True, slots=True)
class DependencyRegained:
    """A dependency answers again."""

    name: str


class Observer(ABC):
    """Takes what happens."""

    @abstractmethod
    def observe(self, event):
        """Take one of this module's events."""
