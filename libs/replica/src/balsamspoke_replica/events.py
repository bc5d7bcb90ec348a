"""Events that replicas emit for logs and metrics."""

from dataclasses import dataclass
from datetime import timedelta

from balsamspoke_types.identifiers import AdapterRef, AttemptId
from balsamspoke_types.outcomes import Cause


@dataclass(frozen=True, slots=True)
class LoadStarted:
    """The load of an adapter was started."""

    adapter: AdapterRef


@dataclass(frozen=True, slots=True)
class LoadEnded:
    """An adapter was loaded.

    Attributes
    ----------
    adapter : AdapterRef
        The loaded adapter.
    duration : timedelta
        Time from the command to its success.
    """

    adapter: AdapterRef
    duration: timedelta


@dataclass(frozen=True, slots=True)
class LoadFailed:
    """The load of an adapter failed; it may be retried after a backoff.

    Attributes
    ----------
    adapter : AdapterRef
        The adapter that wasn't loaded.
    failures : int
        Consecutive failures, without those that didn't reach the engine.
    wait : timedelta
        Backoff before the next load.
    reason : str
        Text of the error.
    """

    adapter: AdapterRef
    failures: int
    wait: timedelta
    reason: str


@dataclass(frozen=True, slots=True)
class AdapterEvicted:
    """The eviction of an adapter was started.

    Attributes
    ----------
    adapter : AdapterRef
        The evicted adapter.
    successor : AdapterRef
        The adapter that needs the slot.
    """

    adapter: AdapterRef
    successor: AdapterRef


@dataclass(frozen=True, slots=True)
class SlotHeld:
    """A loaded adapter was closed to new requests for the sake of an overdue one.

    Attributes
    ----------
    adapter : AdapterRef
        The adapter to be evicted once it is idle.
    passed_over : AdapterRef
        The adapter of the overdue request.
    """

    adapter: AdapterRef
    passed_over: AdapterRef


@dataclass(frozen=True, slots=True)
class RequestRefused:
    """A request was refused and never runs."""

    attempt: AttemptId
    team: str
    cause: Cause


@dataclass(frozen=True, slots=True)
class RequestStarted:
    """A request was handed to the backend server.

    Attributes
    ----------
    attempt : AttemptId
        The attempt.
    team : str
        Team of the caller; empty for a request without a key.
    waited : timedelta
        Time spent in the queue.
    """

    attempt: AttemptId
    team: str
    waited: timedelta


@dataclass(frozen=True, slots=True)
class EngineRestarted:
    """The engine reported a new boot id, so its slots are empty."""

    boot: str


@dataclass(frozen=True, slots=True)
class EngineDown:
    """The backend server, an engine or a plain service, stopped answering.

    Attributes
    ----------
    reason : str
        Text of the error.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class HoldershipLost:
    """Ownership of the engine was lost to another process.

    Attributes
    ----------
    fencing : int
        Fencing token of this process.
    """

    fencing: int
