"""Port for time."""

from abc import ABC, abstractmethod


class Timer(ABC):
    """A scheduled call."""

    @abstractmethod
    def cancel(self):
        """Cancel the call; without effect if it was made or cancelled before."""


class Clock(ABC):
    """Clock and timers of one process."""

    @abstractmethod
    def now(self):
        """Return the wall time as an aware datetime in UTC; it may jump."""

    @abstractmethod
    def monotonic(self):
        """Return the time since a fixed moment as a timedelta; it never jumps.

        It advances also while the process is paused or its VM is suspended.
        """

    @abstractmethod
    def call_later(self, delay, function, *arguments):
        """Schedule a call of a function.

        Parameters
        ----------
        delay : timedelta
            Minimum delay, not negative. The call may be late but is never early.
        function : callable
            Function to call.
        *arguments
            Positional arguments of the call.

        Returns
        -------
        Timer
            Handle that cancels the call.
        """
