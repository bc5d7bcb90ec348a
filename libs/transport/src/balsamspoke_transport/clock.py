"""Implementation of the Clock port on a Twisted reactor."""

import time
from datetime import UTC, datetime, timedelta

from balsamspoke_types.ports import Clock, Timer


class _ReactorTimer(Timer):
    def __init__(self, call):
        self._call = call

    def cancel(self):
        if self._call.active():
            self._call.cancel()


class ReactorClock(Clock):
    """Read the operating system's clocks and schedule timers on a reactor.

    Parameters
    ----------
    reactor : IReactorTime
        Runs the timers.
    """

    def __init__(self, reactor):
        self._reactor = reactor

    def now(self):
        """Return the wall time as an aware datetime in UTC."""
        return datetime.now(UTC)

    def monotonic(self):
        """Return the time since boot as a timedelta, including VM suspension."""
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))

    def call_later(self, delay, function, *arguments):
        """Schedule a call of a function after a timedelta; return its Timer."""
        call = self._reactor.callLater(delay.total_seconds(), function, *arguments)
        return _ReactorTimer(call)
