"""Replicas of backend servers: queue, adapter slots, drain and fencing."""

from .engine import EngineReplica
from .events import (
    AdapterEvicted,
    EngineDown,
    EngineRestarted,
    HoldershipLost,
    LoadEnded,
    LoadFailed,
    LoadStarted,
    RequestRefused,
    RequestStarted,
    SlotHeld,
)
from .exceptions import ReplicaSettingsError, ReplicaStateError
from .queueing import FairQueue, FifoQueue, QueuedRequest, QueuePolicy
from .service import ServiceReplica
from .settings import ReplicaSettings
from .slots import LruSlotPolicy, PopularitySlotPolicy, SlotPolicy

__all__ = [
    "AdapterEvicted",
    "EngineDown",
    "EngineReplica",
    "EngineRestarted",
    "FairQueue",
    "FifoQueue",
    "HoldershipLost",
    "LoadEnded",
    "LoadFailed",
    "LoadStarted",
    "LruSlotPolicy",
    "PopularitySlotPolicy",
    "QueuePolicy",
    "QueuedRequest",
    "ReplicaSettings",
    "ReplicaSettingsError",
    "ReplicaStateError",
    "RequestRefused",
    "RequestStarted",
    "ServiceReplica",
    "SlotHeld",
    "SlotPolicy",
]
