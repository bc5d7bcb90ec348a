"""Health checks of entries, as a balancer makes them."""

from datetime import timedelta

READY_PATH = "/health/ready"
_CHECK_TIMEOUT = timedelta(seconds=2)
_OK = 200


class Balancer:
    """Keep the list of entries that are ready.

    Parameters
    ----------
    reactor : IReactorTime
        Gives the time.
    callers : sequence of HttpCaller
        All entries.
    interval : float
        Seconds between two checks of an entry; 0 for none, then all count as ready.

    Attributes
    ----------
    ready : list of HttpCaller
        Changed in place. An entry stays if it is the last one.
    """

    def __init__(self, reactor, callers, interval):
        self._reactor = reactor
        self._callers = callers
        self._interval = interval
        self.ready = list(callers)

    def start(self):
        """Begin to check."""
        if self._interval > 0:
            for caller in self._callers:
                self._check(caller)

    def _check(self, caller):
        self._reactor.callLater(self._interval, self._check, caller)
        asked = caller.call("GET", READY_PATH, _CHECK_TIMEOUT)
        asked.addCallbacks(
            lambda reply: self._note(caller, reply.status == _OK),
            lambda _: self._note(caller, False),
        )

    def _note(self, caller, is_ready):
        if is_ready and caller not in self.ready:
            self.ready.append(caller)
        elif not is_ready and caller in self.ready and len(self.ready) > 1:
            self.ready.remove(caller)
