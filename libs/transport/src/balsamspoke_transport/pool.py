"""Pool of client connections to servers."""

from datetime import timedelta

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.protocol import ClientFactory, Protocol
from twisted.python.failure import Failure

from .connections import HttpConnection
from .exceptions import ConnectionFailed
from .exchanges import HttpExchange
from .send_monitor import SendMonitor
from .turns import TurnQueue

# Within a region a connection is established in a few milliseconds.
CONNECT_TIMEOUT = timedelta(milliseconds=500)


class ConnectionPool:
    """Send requests over idle connections, or over new ones if none is usable.

    Parameters
    ----------
    reactor : IReactorTCP
        Opens connections.
    clock : Clock
        Measures how long connections have been idle.
    id_header : bytes
        Response header that echoes the request id, in lower case.
    connect_timeout : timedelta
        Time limit for opening a connection.
    """

    def __init__(self, reactor, clock, id_header, connect_timeout=CONNECT_TIMEOUT):
        self._reactor = reactor
        self._clock = clock
        self._id_header = id_header
        self._connect_timeout = connect_timeout
        self._turns = TurnQueue(clock)
        self._send_monitor = SendMonitor(clock)
        self._idle_connections = {}

    def send(self, endpoint, request):
        """Send an HttpRequest to an Endpoint; return its HttpExchange."""
        exchange = HttpExchange(request, self._id_header)
        connection = self._take_idle_connection(endpoint, request)
        if connection is not None:
            connection.start_exchange(exchange)
        else:
            self._connect(endpoint, exchange)
        return exchange

    def close_idle(self, endpoint):
        """Close all connections to an Endpoint that have no open exchange."""
        for connection in self._idle_connections.pop(endpoint, []):
            connection.abort_connection()

    def is_refusing(self, endpoint):
        """Return a Deferred of whether an Endpoint refuses a new connection.

        A connection that is made is closed at once. An endpoint that does not respond
        counts as not refusing; so does a cancelled attempt.
        """
        factory = _ConnectionFactory(Protocol)
        attempt = _ConnectionAttempt(self._connect_to(endpoint, factory))
        result = Deferred(lambda _: attempt.cancel())
        checked = factory.connected.addCallbacks(_close_connection, _is_refusal)
        checked.chainDeferred(result)
        return result

    def _take_idle_connection(self, endpoint, request):
        idle = self._idle_connections.get(endpoint, [])
        # The most recently used connection is the least likely to be closed by now.
        for connection in reversed(idle):
            if connection.is_usable(request.is_idempotent):
                idle.remove(connection)
                return connection
        return None

    def _connect(self, endpoint, exchange):
        def add_idle(connection):
            self._idle_connections.setdefault(endpoint, []).append(connection)

        def remove_idle(connection):
            idle = self._idle_connections.get(endpoint, [])
            if connection in idle:
                idle.remove(connection)

        factory = _ConnectionFactory(
            lambda: HttpConnection(
                self._clock, self._turns, self._send_monitor, add_idle, remove_idle
            )
        )
        connector = self._connect_to(endpoint, factory)
        connected = factory.connected
        exchange.set_connecting(_ConnectionAttempt(connector))
        connected.addCallbacks(
            _start_exchange, _fail_exchange, (exchange,), None, (exchange,)
        )

    def _connect_to(self, endpoint, factory):
        return self._reactor.connectTCP(
            endpoint.ip,
            endpoint.port,
            factory,
            timeout=self._connect_timeout.total_seconds(),
        )


class _ConnectionAttempt:
    """A connection that is being opened, which can be cancelled."""

    def __init__(self, connector):
        self._connector = connector

    def cancel(self):
        self._connector.stopConnecting()


class _ConnectionFactory(ClientFactory):
    noisy = False

    def __init__(self, make_connection):
        self._make_connection = make_connection
        self.connected = Deferred()

    def buildProtocol(self, address):
        connection = self._make_connection()
        original = connection.connectionMade

        def connection_made():
            original()
            self.connected.callback(connection)

        connection.connectionMade = connection_made
        return connection

    def clientConnectionFailed(self, connector, reason):
        self.connected.errback(reason)


def _close_connection(connection):
    connection.transport.abortConnection()
    return False


def _is_refusal(reason):
    return reason.check(ConnectionRefusedError) is not None


def _start_exchange(connection, exchange):
    if exchange.has_failed:
        connection.abort_connection()
    else:
        connection.start_exchange(exchange)


def _fail_exchange(reason, exchange):
    exchange.handle_failure(ConnectionFailed(_describe(reason)))


def _describe(reason):
    """Return the text of a Failure.

    A connection that is reset before it is established fails with an error whose only
    argument is another Failure, of which the text contains a traceback.
    """
    inner = [each for each in reason.value.args if isinstance(each, Failure)]
    return _describe(inner[0]) if inner else reason.getErrorMessage()
