"""The clock of a real process."""

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
    """Time from the operating system, timers from a reactor.

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
        """Return the time since boot; it goes on while the VM is suspended."""
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))

    def call_later(self, delay, function, *arguments):
        """Call a function after a timedelta; return a Timer."""
        call = self._reactor.callLater(delay.total_seconds(), function, *arguments)
        return _ReactorTimer(call)
