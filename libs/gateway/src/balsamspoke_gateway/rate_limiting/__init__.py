"""Rate limits that replicas name, kept by all entry processes together."""

from .coordinator import RateLimitCoordinator
from .limits import ReplicaRateLimits
from .messages import PermitReply, PermitRequest, RateLimitNotice

__all__ = [
    "PermitReply",
    "PermitRequest",
    "RateLimitCoordinator",
    "RateLimitNotice",
    "ReplicaRateLimits",
]
