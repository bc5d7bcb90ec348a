"""The Twisted reactor of all programs, whose timers run also under load."""

import time

from twisted.internet.asyncioreactor import AsyncioSelectorReactor
from twisted.internet.main import installReactor


class PunctualReactor(AsyncioSelectorReactor):
    """Asyncio reactor whose timers are not held up by other timers that are moved.

    Twisted's own cancels the loop's one handle for all timers and makes a new one
    whenever a timer is moved to a sooner moment. The new handle waits behind the
    sockets of the loop's next turn, even if the old one was due. As long as each turn
    moves a timer, as any request on a kept connection does, none runs.

    Its time is that since boot, including VM suspension. Timers by the time of day, as
    Twisted's own, are late after the clock was set back.

    Parameters
    ----------
    eventloop : asyncio.AbstractEventLoop or None
        Loop to run on; None for the default one.
    """

    @staticmethod
    def seconds():
        """Return the seconds since boot."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def _reschedule(self):
        """Make a handle for the next timer, unless an earlier one will run.

        One that runs before any timer is due makes the next one.
        """
        timeout = self.timeout()
        if timeout is None:
            return
        due_at = self._asyncioEventloop.time() + timeout
        if self._scheduledAt is None or due_at < self._scheduledAt:
            super()._reschedule()


def install_reactor(eventloop=None):
    """Install a PunctualReactor as the reactor of the program.

    Parameters
    ----------
    eventloop : asyncio.AbstractEventLoop or None
        Loop to run on; None for the default one.

    Raises
    ------
    twisted.internet.error.ReactorAlreadyInstalledError
        If there is a reactor already.
    """
    installReactor(PunctualReactor(eventloop))
