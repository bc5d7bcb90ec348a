"""Ownership of the engine: the right to send it commands."""

from .events import HoldershipLost


class EngineOwnership:
    """Track whether this process owns the engine; lost ownership never returns.

    Parameters
    ----------
    fencing : int
        Fencing token of this process.
    is_holder : callable
        Called before each command; returns whether this process still is the one
        that may send commands.
    on_lost : callable
        Called once, without arguments, when ownership is lost.
    on_event : callable
        Called with a HoldershipLost event when ownership is lost.

    Attributes
    ----------
    is_lost : bool
        Whether ownership is lost.
    """

    def __init__(self, fencing, is_holder, on_lost, on_event):
        self._fencing = fencing
        self._is_holder = is_holder
        self._on_lost = on_lost
        self._on_event = on_event
        self.is_lost = False

    def check(self):
        """Return whether a command may be sent now."""
        if self.is_lost:
            return False
        if not self._is_holder():
            self.lose()
            return False
        return True

    def lose(self):
        """Mark ownership as lost to another process."""
        if not self.is_lost:
            self.is_lost = True
            self._on_event(HoldershipLost(self._fencing))
            self._on_lost()
