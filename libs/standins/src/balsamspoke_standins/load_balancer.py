"""Readiness checks of entry processes, as a load balancer makes them."""

from datetime import timedelta

READY_PATH = "/health/ready"
_CHECK_TIMEOUT = timedelta(seconds=2)
_OK = 200


class Balancer:
    """Load balancer that keeps a list of ready entry processes.

    Parameters
    ----------
    reactor : IReactorTime
        Clock of the checks.
    callers : sequence of HttpCaller
        Clients of all entry processes.
    interval : float
        Seconds between two checks of an entry process; 0 disables the checks, so that
        all count as ready.

    Attributes
    ----------
    ready : list of HttpCaller
        Clients of the ready processes, updated in place. The last one is never
        removed.
    """

    def __init__(self, reactor, callers, interval):
        self._reactor = reactor
        self._callers = callers
        self._interval = interval
        self.ready = list(callers)

    def start(self):
        """Start the periodic checks."""
        if self._interval > 0:
            for caller in self._callers:
                self._check(caller)

    def _check(self, caller):
        self._reactor.callLater(self._interval, self._check, caller)
        reply_deferred = caller.call("GET", READY_PATH, _CHECK_TIMEOUT)
        reply_deferred.addCallbacks(
            lambda reply: self._set_ready(caller, reply.status == _OK),
            lambda _: self._set_ready(caller, False),
        )

    def _set_ready(self, caller, is_ready):
        if is_ready and caller not in self.ready:
            self.ready.append(caller)
        elif not is_ready and caller in self.ready and len(self.ready) > 1:
            self.ready.remove(caller)
