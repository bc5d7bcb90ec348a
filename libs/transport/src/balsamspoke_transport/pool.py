"""Connections to servers, kept for the next request."""

from datetime import timedelta

from twisted.internet.defer import Deferred
from twisted.internet.protocol import ClientFactory

from .connections import HttpConnection, HttpExchange
from .exceptions import ConnectionFailed

# Within the same region a connection is there in a few milliseconds.
CONNECT_TIMEOUT = timedelta(milliseconds=500)


class ConnectionPool:
    """Send requests over kept connections, or new ones.

    Parameters
    ----------
    reactor : IReactorTCP
        Makes connections.
    clock : Clock
        For their ages.
    id_header : bytes
        Header that echoes a request's id, in lower case.
    connect_timeout : timedelta
        For one new connection.
    """

    def __init__(self, reactor, clock, id_header, connect_timeout=CONNECT_TIMEOUT):
        self._reactor = reactor
        self._clock = clock
        self._id_header = id_header
        self._connect_timeout = connect_timeout
        self._free = {}

    def send(self, endpoint, request):
        """Send an HttpRequest to an Endpoint; return an HttpExchange."""
        exchange = HttpExchange(request, self._id_header)
        connection = self._take_free(endpoint, request)
        if connection is not None:
            connection.begin(exchange)
        else:
            self._connect(endpoint, exchange)
        return exchange

    def _take_free(self, endpoint, request):
        free = self._free.get(endpoint, [])
        # The connection used last is the least likely to be closed by now.
        for connection in reversed(free):
            if connection.is_usable(request.is_idempotent):
                free.remove(connection)
                return connection
        return None

    def _connect(self, endpoint, exchange):
        def keep(connection):
            self._free.setdefault(endpoint, []).append(connection)

        def forget(connection):
            free = self._free.get(endpoint, [])
            if connection in free:
                free.remove(connection)

        factory = _ConnectionFactory(lambda: HttpConnection(self._clock, keep, forget))
        connector = self._reactor.connectTCP(
            endpoint.ip,
            endpoint.port,
            factory,
            timeout=self._connect_timeout.total_seconds(),
        )
        connecting = factory.connected
        exchange.note_connecting(_Connecting(connector))
        connecting.addCallbacks(_begin, _fail, (exchange,), None, (exchange,))


class _Connecting:
    """A connection being made, which can be given up."""

    def __init__(self, connector):
        self._connector = connector

    def cancel(self):
        self._connector.stopConnecting()


class _ConnectionFactory(ClientFactory):
    noisy = False

    def __init__(self, build):
        self._build = build
        self.connected = Deferred()

    def buildProtocol(self, address):
        connection = self._build()
        made = connection.connectionMade

        def connection_made():
            made()
            self.connected.callback(connection)

        connection.connectionMade = connection_made
        return connection

    def clientConnectionFailed(self, connector, reason):
        self.connected.errback(reason)


def _begin(connection, exchange):
    if exchange.is_aborted:
        connection.drop()
    else:
        connection.begin(exchange)


def _fail(reason, exchange):
    exchange.take_failure(ConnectionFailed(reason.getErrorMessage()))
