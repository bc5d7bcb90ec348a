"""Rate limits that replicas name, kept by all entry processes together."""

from .limits import ReplicaRateLimits

__all__ = ["ReplicaRateLimits"]
