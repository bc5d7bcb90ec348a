"""Memory that a process holds for callers that are slow, and of unfinished answers."""

from .budget import BufferBudget
from .received import ReceiveBudget

__all__ = ["BufferBudget", "ReceiveBudget"]
