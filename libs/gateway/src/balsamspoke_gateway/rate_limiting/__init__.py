"""Limits of replicas, kept by all entry processes together: named ones, cold ones."""

from .cold import MAX_COLD_TIME, ColdReplicas
from .coordinator import RateLimitCoordinator
from .limits import ReplicaRateLimits
from .messages import ColdNotice, PermitReply, PermitRequest, RateLimitNotice

__all__ = [
    "MAX_COLD_TIME",
    "ColdNotice",
    "ColdReplicas",
    "PermitReply",
    "PermitRequest",
    "RateLimitCoordinator",
    "RateLimitNotice",
    "ReplicaRateLimits",
]
