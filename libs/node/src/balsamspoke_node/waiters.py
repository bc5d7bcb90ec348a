"""A one-time result that any number of callers can wait for."""

from twisted.internet.defer import Deferred, succeed


class Waiters:
    """A result that is set once and fires the Deferreds of all its waiters."""

    def __init__(self):
        self._deferreds = []
        self._has_fired = False
        self._result = None

    def wait(self):
        """Return a Deferred of the result, already fired if the result is set."""
        if self._has_fired:
            return succeed(self._result)
        result = Deferred()
        self._deferreds.append(result)
        return result

    def fire(self, result):
        """Set the result and fire all Deferreds; later calls have no effect."""
        if self._has_fired:
            return
        self._has_fired = True
        self._result = result
        waiting, self._deferreds = self._deferreds, []
        for deferred in waiting:
            deferred.callback(result)
