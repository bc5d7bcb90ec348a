"""Time limit of an attempt, over all of its waits."""

from twisted.internet.defer import CancelledError


class TimeLimit:
    """Limit the waits of an attempt, one after another, by a single timer.

    A timer for each wait would be cancelled by each piece of an answer, before it runs:
    an answer that never pauses would never be overdue.

    Parameters
    ----------
    clock : Clock
        Schedules the timer.
    """

    def __init__(self, clock):
        self._clock = clock
        self._timer = None
        self._timer_at = None
        self._waiter = None
        self._due_at = None
        self._error = None
        self._has_expired = False

    def limit(self, waiter, due_at, error):
        """Cancel a Deferred that has not fired at a time.

        Parameters
        ----------
        waiter : Deferred
            The operation; the one before has ended.
        due_at : timedelta
            Monotonic time.
        error : Exception
            What the Deferred fails with at that time.

        Returns
        -------
        Deferred
            ``waiter`` itself.
        """
        self._waiter, self._due_at, self._error = waiter, due_at, error
        if self._timer is not None and due_at < self._timer_at:
            self.close()
        if self._timer is None:
            self._set_timer()
        return waiter.addBoth(self._end_wait)

    def close(self):
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _set_timer(self):
        now = self._clock.monotonic()
        self._timer_at = max(now, self._due_at)
        self._timer = self._clock.call_later(self._timer_at - now, self._check)

    def _check(self):
        self._timer = None
        if self._waiter is None:
            return
        if self._clock.monotonic() < self._due_at:
            # The limit has moved to a later time.
            self._set_timer()
            return
        self._has_expired = True
        self._waiter.cancel()

    def _end_wait(self, result):
        self._waiter = None
        if self._has_expired and _is_cancelled(result):
            raise self._error
        return result


def _is_cancelled(result):
    check = getattr(result, "check", None)
    return check is not None and check(CancelledError) is not None
