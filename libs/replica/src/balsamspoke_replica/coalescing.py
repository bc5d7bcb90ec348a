"""Coalescing of repeated calls to a step."""


class CoalescedCall:
    """Run a step; calls during a run are coalesced into one more run afterwards.

    Parameters
    ----------
    step : callable
        Called without arguments.
    """

    def __init__(self, step):
        self._step = step
        self._is_running = False
        self._is_requested = False

    def run(self):
        """Run the step until no call is pending; return False if it is running."""
        self._is_requested = True
        if self._is_running:
            return False
        self._is_running = True
        try:
            while self._is_requested:
                self._is_requested = False
                self._step()
        finally:
            self._is_running = False
        return True
