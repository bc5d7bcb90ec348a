"""Events that explain what a replica did."""

from dataclasses import dataclass
from datetime import timedelta

from balsamspoke_types.identifiers import AdapterRef, AttemptId
from balsamspoke_types.outcomes import Cause


@dataclass(frozen=True, slots=True)
class LoadStarted:
    """An adapter load was ordered."""

    adapter: AdapterRef


@dataclass(frozen=True, slots=True)
class LoadEnded:
    """An adapter was loaded."""

    adapter: AdapterRef
    duration: timedelta


@dataclass(frozen=True, slots=True)
class LoadFailed:
    """A load failed and is tried again after a wait."""

    adapter: AdapterRef
    failures: int
    wait: timedelta
    reason: str


@dataclass(frozen=True, slots=True)
class AdapterEvicted:
    """An adapter was unloaded to make room for another one."""

    adapter: AdapterRef
    successor: AdapterRef


@dataclass(frozen=True, slots=True)
class SlotHeld:
    """A loaded adapter takes no new requests, since another was passed over."""

    adapter: AdapterRef
    passed_over: AdapterRef


@dataclass(frozen=True, slots=True)
class RequestRefused:
    """A request was refused as not run."""

    attempt: AttemptId
    team: str
    cause: Cause


@dataclass(frozen=True, slots=True)
class RequestStarted:
    """A request was handed to the backend server."""

    attempt: AttemptId
    team: str
    waited: timedelta


@dataclass(frozen=True, slots=True)
class EngineRestarted:
    """The engine has a new boot id; its slots are empty."""

    boot: str


@dataclass(frozen=True, slots=True)
class EngineDown:
    """The engine doesn't answer."""

    reason: str


@dataclass(frozen=True, slots=True)
class HoldershipLost:
    """Another process gives the orders now."""

    fencing: int
