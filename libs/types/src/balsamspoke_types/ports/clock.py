"""The port for time."""

from abc import ABC, abstractmethod


class Timer(ABC):
    """A call that is due later."""

    @abstractmethod
    def cancel(self):
        """Drop the call; does nothing if it was made or dropped already."""


class Clock(ABC):
    """Time as one process sees it."""

    @abstractmethod
    def now(self):
        """Return the wall time as an aware datetime in UTC; it may step."""

    @abstractmethod
    def monotonic(self):
        """Return the time since some fixed moment as a timedelta; it never steps.

        It goes on while the process is paused or its VM is suspended.
        """

    @abstractmethod
    def call_later(self, delay, function, *arguments):
        """Call a function later.

        Parameters
        ----------
        delay : timedelta
            Not less than zero; the call may come late, never early.
        function : callable
            Called with the arguments.

        Returns
        -------
        Timer
        """
