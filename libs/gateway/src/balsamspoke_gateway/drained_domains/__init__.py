"""Failure domains that the operator drains: nothing is sent to their replicas."""

from .coordinator import DrainedDomainsCoordinator

__all__ = ["DrainedDomainsCoordinator"]
