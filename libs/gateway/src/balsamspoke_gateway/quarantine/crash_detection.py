"""Detection of replicas that have crashed."""

from datetime import timedelta

from balsamspoke_types.timing import add_timeout, sleep
from twisted.internet.defer import Deferred

from ..exceptions import AnswerOverdue

# A process that ends may close its connections before its port.
CHECK_DELAY = timedelta(milliseconds=20)
# A request that may run again waits for the check. A refusal arrives at once.
MAX_CHECK_TIME = timedelta(milliseconds=100)


class CrashDetector:
    """Tell a crash of a replica from a connection that was merely lost.

    A replica that has crashed refuses connections. Checks of one replica at the same
    time share a connection attempt.

    Parameters
    ----------
    clock : Clock
        Source of the delay.
    is_refusing : callable
        Returns a Deferred of whether the replica of a ReplicaRecord refuses a
        connection.
    """

    def __init__(self, clock, is_refusing):
        self._clock = clock
        self._is_refusing = is_refusing
        self._waiters = {}

    def check(self, record):
        """Return a Deferred of whether the replica of a ReplicaRecord has crashed."""
        key = (record.id, record.born)
        waiter = Deferred()
        if key in self._waiters:
            self._waiters[key].append(waiter)
            return waiter
        self._waiters[key] = [waiter]
        checking = Deferred.fromCoroutine(self._check(record))
        checking.addBoth(self._finish, key)
        return waiter

    async def _check(self, record):
        await sleep(self._clock, CHECK_DELAY)
        checking = self._is_refusing(record)
        timeout_error = AnswerOverdue("the replica neither accepts nor refuses")
        try:
            return await add_timeout(
                checking, self._clock, MAX_CHECK_TIME, timeout_error
            )
        except AnswerOverdue:
            return False

    def _finish(self, result, key):
        for waiter in self._waiters.pop(key):
            if not waiter.called:
                waiter.callback(result)
