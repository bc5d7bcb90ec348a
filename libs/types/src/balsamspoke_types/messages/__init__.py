"""Messages between the processes, each a frozen data class."""

from .attempts import (
    AttemptFailed,
    AttemptFenced,
    AttemptRefused,
    CallService,
    CancelAttempt,
    CreditTokens,
    FenceAttempt,
    GenerationFinished,
    ReplicaReport,
    RunGeneration,
    ServiceAnswered,
    TokenChunk,
    TokensProduced,
)
from .budget import ReserveTokens, ReturnTokens, TokensGranted
from .catalogue import CatalogueDelta, PullCatalogue
from .membership import Heartbeat, HeartbeatAnswer, ProcessStatus

__all__ = [
    "AttemptFailed",
    "AttemptFenced",
    "AttemptRefused",
    "CallService",
    "CancelAttempt",
    "CatalogueDelta",
    "CreditTokens",
    "FenceAttempt",
    "GenerationFinished",
    "Heartbeat",
    "HeartbeatAnswer",
    "ProcessStatus",
    "PullCatalogue",
    "ReplicaReport",
    "ReserveTokens",
    "ReturnTokens",
    "RunGeneration",
    "ServiceAnswered",
    "TokenChunk",
    "TokensGranted",
    "TokensProduced",
]
