"""Estimates of how long work takes at each replica, now and as a rule."""

from .coordinator import ReplicaSpeedCoordinator
from .messages import SlowdownNotice
from .speeds import ReplicaSpeeds

__all__ = [
    "ReplicaSpeedCoordinator",
    "ReplicaSpeeds",
    "SlowdownNotice",
]
