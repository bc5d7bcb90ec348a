"""Whether this process may still give its backend server orders."""

from .events import HoldershipLost


class EngineOwnership:
    """The right to give orders, which is never regained once it is lost.

    Parameters
    ----------
    fencing : int
        Fencing number of the orders.
    is_holder : callable
        Asked before each order.
    on_lost : callable
        Called once, when the right is lost.
    on_event : callable
        Called with events.
    """

    def __init__(self, fencing, is_holder, on_lost, on_event):
        self._fencing = fencing
        self._is_holder = is_holder
        self._on_lost = on_lost
        self._on_event = on_event
        self.is_lost = False

    def check(self):
        """Return whether an order may be given now."""
        if self.is_lost:
            return False
        if not self._is_holder():
            self.lose()
            return False
        return True

    def lose(self):
        """Note that another process gives the orders."""
        if not self.is_lost:
            self.is_lost = True
            self._on_event(HoldershipLost(self._fencing))
            self._on_lost()
