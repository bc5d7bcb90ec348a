"""A step that is repeated as long as it is asked for."""


class CoalescedCall:
    """Run a step; when asked for from within, run it once more afterwards.

    Parameters
    ----------
    step : callable
        What is run.
    """

    def __init__(self, function):
        self._function = function
        self._is_running = False
        self._is_requested = False

    def run(self):
        """Run the step until nobody asks for it; return whether it was run here."""
        self._is_requested = True
        if self._is_running:
            return False
        self._is_running = True
        try:
            while self._is_requested:
                self._is_requested = False
                self._function()
        finally:
            self._is_running = False
        return True
