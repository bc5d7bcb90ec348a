"""Replica selection, attempts with retries, and at-most-once calls."""

from .directory import ReplicaDescription, ReplicaDirectory
from .ledger import IdempotencyLedger
from .policies import (
    AdapterAffinity,
    LeastLoaded,
    PlainRendezvous,
    RoundRobin,
    RoutingPolicy,
)
from .requests import AnswerSink, CallRequest, GenerationRequest, RunningRequest
from .runner import AttemptRunner
from .settings import AttemptSettings, DirectorySettings, LedgerSettings
from .sweeper import RecordSweeper

__all__ = [
    "AdapterAffinity",
    "AnswerSink",
    "AttemptRunner",
    "AttemptSettings",
    "CallRequest",
    "DirectorySettings",
    "GenerationRequest",
    "IdempotencyLedger",
    "LeastLoaded",
    "LedgerSettings",
    "PlainRendezvous",
    "RecordSweeper",
    "ReplicaDescription",
    "ReplicaDirectory",
    "RoundRobin",
    "RoutingPolicy",
    "RunningRequest",
]
