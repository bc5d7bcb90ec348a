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
    clients : sequence of HttpClient
        Clients of all entry processes.
    interval : float
        Seconds between two checks of an entry process; 0 disables the checks, so that
        all count as ready.

    Attributes
    ----------
    ready : list of HttpClient
        Clients of the ready processes, updated in place. The last one is never
        removed.
    """

    def __init__(self, reactor, clients, interval):
        self._reactor = reactor
        self._clients = clients
        self._interval = interval
        self.ready = list(clients)

    def start(self):
        """Start the periodic checks."""
        if self._interval > 0:
            for client in self._clients:
                self._check(client)

    def _check(self, client):
        self._reactor.callLater(self._interval, self._check, client)
        reply_deferred = client.call("GET", READY_PATH, _CHECK_TIMEOUT)
        reply_deferred.addCallbacks(
            lambda reply: self._set_ready(client, reply.status == _OK),
            lambda _: self._set_ready(client, False),
        )

    def _set_ready(self, client, is_ready):
        if is_ready and client not in self.ready:
            self.ready.append(client)
        elif not is_ready and client in self.ready and len(self.ready) > 1:
            self.ready.remove(client)
