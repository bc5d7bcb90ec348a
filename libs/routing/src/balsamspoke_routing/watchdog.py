"""A timer that is put off by activity."""


class Watchdog:
    """Call a function once nothing has happened for some time.

    Activity only stores the time; the timer is set anew when it comes due, so that
    frequent activity costs little.

    Parameters
    ----------
    clock : Clock
        Time.
    function : callable
        Called without arguments; the watchdog is stopped then.
    """

    def __init__(self, clock, function):
        self._clock = clock
        self._function = function
        self._limit = None
        self._last = None
        self._timer = None

    @property
    def is_running(self):
        """Whether it was started and neither stopped nor came due."""
        return self._timer is not None

    def start(self, limit):
        """Watch from now on; limit is a timedelta."""
        self.stop()
        self._limit = limit
        self._last = self._clock.monotonic()
        self._timer = self._clock.call_later(limit, self._check)

    def touch(self):
        """Note activity."""
        self._last = self._clock.monotonic()

    def stop(self):
        """Stop watching."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self):
        left = self._last + self._limit - self._clock.monotonic()
        if left.total_seconds() > 0:
            self._timer = self._clock.call_later(left, self._check)
            return
        self._timer = None
        self._function()
