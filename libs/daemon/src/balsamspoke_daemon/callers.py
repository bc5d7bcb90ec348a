"""The HTTP port for callers.

The size of a request and the time to receive it are limited; both limits are enforced
while the request is still being received. The number of open connections is limited
too.
"""

import orjson
from balsamspoke_node import CallerRequest, Responder
from balsamspoke_node.responses import (
    describe_refusal,
    write_refusal,
    write_response,
)
from balsamspoke_types.outcomes import Cause, Ran, Refusal
from twisted.internet.interfaces import IPushProducer
from twisted.web import http
from zope.interface import implementer

READY_PATH = b"/health/ready"
LIVE_PATH = b"/health/live"
IDLE_CONNECTION_SECONDS = 75
MAXIMUM_HEADERS = 100

_TEXT = (("content-type", "text/plain"),)
_OK = 200
_UNAVAILABLE = 503


@implementer(IPushProducer)
class _ExchangeProducer:
    """Pass backpressure of the caller's connection on to the exchange."""

    def __init__(self, exchange):
        self._exchange = exchange

    def pauseProducing(self):
        self._exchange.pause()

    def resumeProducing(self):
        self._exchange.resume()

    def stopProducing(self):
        pass


class HttpResponder(Responder):
    """Write the response to a twisted.web request.

    Parameters
    ----------
    request : http.Request
        The request that is answered.

    Attributes
    ----------
    is_ended : bool
        Whether the response was ended or aborted; later writes are ignored.
    has_producer : bool
        Whether a producer is registered with the request.
    """

    def __init__(self, request):
        self._request = request
        self.is_ended = False
        self.has_producer = False

    def start(self, status, headers):
        """Set the status and the headers, which are sent with the first data."""
        self._request.setResponseCode(status)
        for name, value in headers:
            self._request.responseHeaders.addRawHeader(name, value)

    def write(self, data):
        """Send a part of the body; do nothing after the end."""
        if not self.is_ended:
            self._request.write(data)

    def end(self):
        """End the response."""
        if not self.is_ended:
            self._close()
            self._request.finish()

    def abort(self):
        """Close the connection after the data written so far.

        A chunked response then has no final chunk, which marks it as incomplete.
        """
        if not self.is_ended:
            self._close()
            self._request.loseConnection()

    def _close(self):
        self.is_ended = True
        if self.has_producer:
            self._request.unregisterProducer()


class EarlyResponder(HttpResponder):
    """Write the response to an incomplete request, then close the connection.

    ``finish`` isn't called, since twisted.web still expects the request's body.
    """

    def end(self):
        """Close the connection after the response."""
        if not self.is_ended:
            self._close()
            self._request.loseConnection()


class CallerChannel(http.HTTPChannel):
    """A caller's connection."""

    def connectionMade(self):
        """Add the connection to the count of open ones."""
        self.factory.connections += 1
        super().connectionMade()

    def connectionLost(self, reason):
        """Subtract the connection from the count of open ones."""
        self.factory.connections -= 1
        super().connectionLost(reason)

    def _respondToBadRequestAndDisconnect(self):
        """Refuse bytes that aren't HTTP, in the JSON format of other refusals."""
        body = orjson.dumps(describe_refusal(_NOT_HTTP, ""))
        head = _NOT_HTTP_HEAD + b"content-length: %d\r\n\r\n" % len(body)
        self.transport.write(head + body)
        self.loseConnection()


_NOT_HTTP = Refusal(Cause.MALFORMED, Ran.NOT_RUN, "the request is not valid HTTP")
_NOT_HTTP_HEAD = (
    b"HTTP/1.1 400 Bad Request\r\n"
    b"content-type: application/json\r\n"
    b"x-outcome: not-run\r\n"
    b"connection: close\r\n"
)


class CallerHttpRequest(http.Request):
    """A caller's request, refused as soon as it is too large or too slow."""

    def __init__(self, channel, *arguments, **options):
        super().__init__(channel, *arguments, **options)
        self._factory = channel.factory
        self._size = 0
        self._is_refused = False
        self._timeout = self._factory.reactor.callLater(
            self._factory.header_timeout.total_seconds(), self._refuse_overdue
        )

    def gotLength(self, length):
        """Refuse a body whose Content-Length is over the limit."""
        super().gotLength(length)
        if length is not None and length > self._factory.maximum_body_bytes:
            self._refuse_early(Cause.TOO_LARGE, "the body is too large")

    def handleContentChunk(self, data):
        """Refuse a body that grows over the limit."""
        if self._is_refused:
            return
        self._size += len(data)
        if self._size > self._factory.maximum_body_bytes:
            self._refuse_early(Cause.TOO_LARGE, "the body is too large")
            return
        super().handleContentChunk(data)

    def requestReceived(self, command, path, version):
        """Handle the complete request."""
        self._cancel_timeout()
        if not self._is_refused:
            super().requestReceived(command, path, version)

    def connectionLost(self, reason):
        """Cancel the timeout when the connection is lost."""
        self._cancel_timeout()
        super().connectionLost(reason)

    def process(self):
        """Answer a health check, or pass the request to the node."""
        if self.path in (READY_PATH, LIVE_PATH):
            self._respond_to_health_check()
            return
        responder = HttpResponder(self)
        try:
            request = self._read_request()
        except UnicodeDecodeError:
            self._refuse(responder, Cause.MALFORMED, "headers and path must be text")
            return
        exchange = self._factory.node.handle(request, responder)
        if exchange is None or responder.is_ended:
            return
        self.notifyFinish().addErrback(lambda _: exchange.cancel())
        self.registerProducer(_ExchangeProducer(exchange), True)
        responder.has_producer = True

    def _read_request(self):
        headers = tuple(
            (name.lower().decode("ascii"), value.decode("latin-1"))
            for name, values in self.requestHeaders.getAllRawHeaders()
            for value in values
        )
        return CallerRequest(
            method=self.method.decode("ascii"),
            target=self.uri.decode("ascii"),
            headers=headers,
            body=self.content.read(),
        )

    def _respond_to_health_check(self):
        is_healthy = self.path == LIVE_PATH or self._factory.node.is_ready
        status = _OK if is_healthy else _UNAVAILABLE
        write_response(
            HttpResponder(self), status, _TEXT, b"ok" if is_healthy else b"no"
        )

    def _refuse_overdue(self):
        self._refuse_early(Cause.MALFORMED, "the request did not come in whole in time")

    def _refuse_early(self, cause, message):
        if self._is_refused:
            return
        self._is_refused = True
        self._cancel_timeout()
        self.method = self.method if self.method != b"(no method yet)" else b"POST"
        self.clientproto = b"HTTP/1.1"
        self.responseHeaders.setRawHeaders(b"connection", [b"close"])
        self._refuse(EarlyResponder(self), cause, message)

    def _refuse(self, responder, cause, message):
        write_refusal(responder, Refusal(cause, Ran.NOT_RUN, message), "")

    def _cancel_timeout(self):
        if self._timeout is not None and self._timeout.active():
            self._timeout.cancel()
        self._timeout = None


class CallerFactory(http.HTTPFactory):
    """Create the protocols of callers' connections, up to a maximum number.

    Parameters
    ----------
    node : EntryNode
        Handles the requests.
    settings : Settings
        The daemon's settings.
    reactor : IReactorTime
        Runs the timeouts of requests and of idle connections.

    Attributes
    ----------
    connections : int
        Open connections.
    """

    protocol = CallerChannel

    def __init__(self, node, settings, reactor):
        super().__init__(timeout=IDLE_CONNECTION_SECONDS, reactor=reactor)
        self.node = node
        self.maximum_body_bytes = settings.maximum_body_bytes
        self.header_timeout = settings.header_timeout
        self._maximum_connections = settings.maximum_connections
        self.connections = 0

    def buildProtocol(self, address):
        """Return the protocol of a connection, or None to close the connection."""
        if self.connections >= self._maximum_connections:
            return None
        protocol = super().buildProtocol(address)
        protocol.requestFactory = CallerHttpRequest
        return protocol

    def log(self, request):
        """Write no access log: the node's observer receives an event per exchange."""
