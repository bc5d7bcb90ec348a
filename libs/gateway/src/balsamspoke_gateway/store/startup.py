"""Start of an entry process, before it knows its configuration and replicas."""

from datetime import timedelta

from balsamspoke_types.timing import add_timeout
from twisted.internet.defer import Deferred

from ..exceptions import AnswerOverdue

# A store that is reachable answers the first calls well within this time. After it,
# waiting requests are refused.
MAX_STARTUP_WAIT = timedelta(milliseconds=500)


class StartupGate:
    """Hold requests until a process that has just started can handle them.

    This handles restarts of many processes at once: callers whose connections broke
    retry at once, and find a process that will know its configuration, replicas and
    peers a few milliseconds later. A refusal could use up their last retry. Without its
    peers the process would admit the whole limit of each team.

    Parameters
    ----------
    clock : Clock
        Source of the time limit.
    """

    def __init__(self, clock):
        self._clock = clock
        self._is_open = False
        self._waiters = []

    def open(self):
        """Let all requests pass from now on."""
        self._is_open = True
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            waiter.callback(None)

    async def wait(self):
        """Wait until the gate opens, at most for ``MAX_STARTUP_WAIT``.

        After a wait in vain the gate opens: the store does not answer, and requests
        are refused at once until it does.
        """
        if self._is_open:
            return
        waiter = Deferred(self._waiters.remove)
        self._waiters.append(waiter)
        try:
            await add_timeout(waiter, self._clock, MAX_STARTUP_WAIT, AnswerOverdue())
        except AnswerOverdue:
            self.open()
