"""Events that a process reports for its logs and metrics.

Event names and field names are the names in the logs.
"""

from .observers import Observer, Observers, ProgramFailed, TimersLate
from .quarantine import PromptsQuarantined, QuarantineLifted, ReplicaCrashed
from .replicas import (
    AdaptersRefused,
    BackoffRequested,
    DomainDrained,
    DomainReturned,
    DrainUnclear,
    HeaderUnreadable,
    OrderGiven,
    PrefillRateLimitChanged,
    PreloadStarted,
    RateLimitLifted,
    RateLimitNamed,
    ReplicaChanged,
    ReplicasListed,
    ReplicaSpeedChanged,
    ReplicaTurnedCold,
    ReplicaTurnedWarm,
)
from .requests import (
    ANSWERED,
    AttemptEnded,
    RequestEnded,
    RequestsEnded,
    RetryDecided,
    SlowCallerDropped,
    StreamResumed,
)
from .scheduling import TeamsLimited
from .store import (
    AdapterAnnounced,
    ConfigurationAdopted,
    DependencyLost,
    DependencyRegained,
    EntriesListed,
    PeersAhead,
    StoreRestored,
    VersionsRegistered,
)

__all__ = [
    "ANSWERED",
    "AdaptersRefused",
    "AdapterAnnounced",
    "AttemptEnded",
    "BackoffRequested",
    "ConfigurationAdopted",
    "DependencyLost",
    "DependencyRegained",
    "DomainDrained",
    "DomainReturned",
    "DrainUnclear",
    "EntriesListed",
    "HeaderUnreadable",
    "Observer",
    "Observers",
    "OrderGiven",
    "PeersAhead",
    "PrefillRateLimitChanged",
    "PreloadStarted",
    "ProgramFailed",
    "PromptsQuarantined",
    "QuarantineLifted",
    "RateLimitLifted",
    "RateLimitNamed",
    "ReplicaChanged",
    "ReplicaCrashed",
    "ReplicaTurnedCold",
    "ReplicaTurnedWarm",
    "ReplicaSpeedChanged",
    "ReplicasListed",
    "RequestEnded",
    "RequestsEnded",
    "RetryDecided",
    "SlowCallerDropped",
    "StoreRestored",
    "StreamResumed",
    "TeamsLimited",
    "TimersLate",
    "VersionsRegistered",
]
