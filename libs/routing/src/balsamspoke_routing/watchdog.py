"""Inactivity timer."""


class Watchdog:
    """Call a function after a period without activity.

    ``reset`` only stores the time. The timer is rescheduled when it expires, so that
    frequent activity costs little.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time and timers.
    function : callable
        Called without arguments; the watchdog is stopped by then.
    """

    def __init__(self, clock, function):
        self._clock = clock
        self._function = function
        self._limit = None
        self._last_activity = None
        self._timer = None

    @property
    def is_running(self):
        """Whether the watchdog was started and has neither stopped nor expired."""
        return self._timer is not None

    def start(self, limit):
        """Start or restart with a timedelta as the longest time without activity."""
        self.stop()
        self._limit = limit
        self._last_activity = self._clock.monotonic()
        self._timer = self._clock.call_later(limit, self._check)

    def reset(self):
        """Restart the period after an activity."""
        self._last_activity = self._clock.monotonic()

    def stop(self):
        """Cancel the timer; the function isn't called."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self):
        time_left = self._last_activity + self._limit - self._clock.monotonic()
        if time_left.total_seconds() > 0:
            self._timer = self._clock.call_later(time_left, self._check)
            return
        self._timer = None
        self._function()
