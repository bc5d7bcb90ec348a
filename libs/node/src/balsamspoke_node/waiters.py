"""Several waits for one event."""

from twisted.internet.defer import Deferred, succeed


class Waiters:
    """Hand out Deferreds that all fire with the same result, once it is known."""

    def __init__(self):
        self._waiting = []
        self._fired = False
        self._result = None

    def wait(self):
        """Return a Deferred of the result."""
        if self._fired:
            return succeed(self._result)
        result = Deferred()
        self._waiting.append(result)
        return result

    def fire(self, result):
        """Give the result to all who wait; a second call changes nothing."""
        if self._fired:
            return
        self._fired = True
        self._result = result
        waiting, self._waiting = self._waiting, []
        for one in waiting:
            one.callback(result)
