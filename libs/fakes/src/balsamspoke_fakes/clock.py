"""A virtual clock that many nodes share, each with its own view of it."""

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
    """The time that all nodes of a test share; it moves only when told."""

    def __init__(self):
        self.elapsed = timedelta(0)
        self._calls = []
        self._order = itertools.count()

    def schedule(self, when, function, *arguments):
        """Call a function when ``elapsed`` reaches a timedelta; return a Timer."""
        timer = _VirtualTimer(function, arguments)
        due = max(when, self.elapsed)
        heapq.heappush(self._calls, (due, next(self._order), timer))
        return timer

    def advance(self, duration):
        """Let a timedelta pass and make the calls that come due, in order."""
        end = self.elapsed + duration
        while self._calls and self._calls[0][0] <= end:
            due, _, timer = heapq.heappop(self._calls)
            self.elapsed = max(self.elapsed, due)
            if timer.function is not None:
                timer.function(*timer.arguments)
        self.elapsed = end


class VirtualClock(Clock):
    """One process's view of a VirtualTime.

    Parameters
    ----------
    time : VirtualTime
        The shared time.
    offset : timedelta
        Added to the wall time; change ``offset`` for a step of the wall clock.

    Notes
    -----
    While the process is paused its timers don't fire; they fire late, at once,
    when it is resumed. ``monotonic`` goes on. A killed process's timers never
    fire again.
    """

    def __init__(self, time, offset=timedelta(0)):
        self.time = time
        self.offset = offset
        self._paused = False
        self._killed = False
        self._held = []

    def now(self):
        """Return the wall time."""
        return START + self.time.elapsed + self.offset

    def monotonic(self):
        """Return the time since the start of the test."""
        return self.time.elapsed

    def call_later(self, delay, function, *arguments):
        """Call a function later, unless the process is killed before."""
        timer = _VirtualTimer(function, arguments)
        self.time.schedule(self.time.elapsed + delay, self._fire, timer)
        return timer

    def pause(self):
        """Freeze the process."""
        self._paused = True

    def resume(self):
        """Let the process go on; held timers fire now."""
        self._paused = False
        held, self._held = self._held, []
        for timer in held:
            self._fire(timer)

    def kill(self):
        """End the process: nothing of it is called any more."""
        self._killed = True

    @property
    def is_paused(self):
        """Whether the process is frozen."""
        return self._paused

    @property
    def is_killed(self):
        """Whether the process has ended."""
        return self._killed

    def run_when_awake(self, function, *arguments):
        """Call a function now, on resuming if paused, or never if killed."""
        self._fire(_VirtualTimer(function, arguments))

    def _fire(self, timer):
        if self._killed or timer.function is None:
            return
        if self._paused:
            self._held.append(timer)
            return
        timer.function(*timer.arguments)
