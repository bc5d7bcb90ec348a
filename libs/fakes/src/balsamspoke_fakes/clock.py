"""Virtual time shared by the nodes of a test, and the clock of each node."""

import heapq
import itertools
from datetime import UTC, datetime, timedelta

from balsamspoke_types.ports import Clock, Timer

START = datetime(2026, 1, 1, tzinfo=UTC)


class _VirtualTimer(Timer):
    def __init__(self, function, arguments):
        self.function = function
        self.arguments = arguments

    def cancel(self):
        self.function = None


class VirtualTime:
    """Time shared by all nodes of a test; only ``advance`` moves it.

    Attributes
    ----------
    elapsed : timedelta
        Time since the start of the test.
    """

    def __init__(self):
        self.elapsed = timedelta(0)
        self._calls = []
        self._order = itertools.count()

    def schedule(self, when, function, *arguments):
        """Schedule a call of a function.

        Parameters
        ----------
        when : timedelta
            Value of ``elapsed`` at which the call is due; due at once if it has
            passed.
        function : callable
            Called with the arguments.

        Returns
        -------
        Timer
        """
        timer = _VirtualTimer(function, arguments)
        due = max(when, self.elapsed)
        heapq.heappush(self._calls, (due, next(self._order), timer))
        return timer

    def advance(self, duration):
        """Advance by a timedelta and make the calls that become due, in order."""
        end = self.elapsed + duration
        while self._calls and self._calls[0][0] <= end:
            due, _, timer = heapq.heappop(self._calls)
            self.elapsed = max(self.elapsed, due)
            if timer.function is not None:
                timer.function(*timer.arguments)
        self.elapsed = end


class VirtualClock(Clock):
    """Clock of one process, based on a VirtualTime.

    Parameters
    ----------
    time : VirtualTime
        The shared time.
    offset : timedelta
        Added to the wall time; set ``offset`` to simulate a step of the wall clock.

    Notes
    -----
    While the process is paused, its timers don't fire and ``monotonic`` keeps
    increasing. Timers that became due fire when the process is resumed. Timers of a
    killed process never fire.
    """

    def __init__(self, time, offset=timedelta(0)):
        self.time = time
        self.offset = offset
        self._is_paused = False
        self._is_killed = False
        self._due_while_paused = []

    def now(self):
        """Return the wall time as an aware datetime in UTC."""
        return START + self.time.elapsed + self.offset

    def monotonic(self):
        """Return the time since the start of the test as a timedelta."""
        return self.time.elapsed

    def call_later(self, delay, function, *arguments):
        """Schedule a call, dropped if the process is killed first; return a Timer."""
        timer = _VirtualTimer(function, arguments)
        self.time.schedule(self.time.elapsed + delay, self._fire, timer)
        return timer

    def pause(self):
        """Pause the process."""
        self._is_paused = True

    def resume(self):
        """Resume the process and fire the timers that became due meanwhile."""
        self._is_paused = False
        due, self._due_while_paused = self._due_while_paused, []
        for timer in due:
            self._fire(timer)

    def kill(self):
        """Kill the process; none of its functions is called afterwards."""
        self._is_killed = True

    @property
    def is_paused(self):
        """Whether the process is paused."""
        return self._is_paused

    @property
    def is_killed(self):
        """Whether the process was killed."""
        return self._is_killed

    def run_or_defer(self, function, *arguments):
        """Call a function now, or on ``resume`` if paused, or never if killed."""
        self._fire(_VirtualTimer(function, arguments))

    def _fire(self, timer):
        if self._is_killed or timer.function is None:
            return
        if self._is_paused:
            self._due_while_paused.append(timer)
            return
        timer.function(*timer.arguments)
