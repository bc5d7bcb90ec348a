"""The callers' HTTP port: bounded requests in, answers out."""

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
    """Pass on whether the caller's connection takes more."""

    def __init__(self, exchange):
        self._exchange = exchange

    def pauseProducing(self):
        self._exchange.pause()

    def resumeProducing(self):
        self._exchange.resume()

    def stopProducing(self):
        pass


class HttpResponder(Responder):
    """Write an answer to a twisted.web request.

    Parameters
    ----------
    request : http.Request
        The request.
    """

    def __init__(self, request):
        self._request = request
        self.is_ended = False
        self.has_producer = False

    def start(self, status, headers):
        """Send the status and the headers."""
        self._request.setResponseCode(status)
        for name, value in headers:
            self._request.responseHeaders.addRawHeader(name, value)

    def write(self, data):
        """Send a part of the body."""
        if not self.is_ended:
            self._request.write(data)

    def end(self):
        """End the answer."""
        if not self.is_ended:
            self._close()
            self._request.finish()

    def abort(self):
        """Break the connection off after what was written."""
        if not self.is_ended:
            self._close()
            self._request.loseConnection()

    def _close(self):
        self.is_ended = True
        if self.has_producer:
            self._request.unregisterProducer()


class EarlyResponder(HttpResponder):
    """Write an answer before the request has come in whole, then hang up.

    The request isn't finished towards twisted.web, which still expects its body.
    """

    def end(self):
        """Close the connection after the answer."""
        if not self.is_ended:
            self._close()
            self._request.loseConnection()


class CallerChannel(http.HTTPChannel):
    """One connection of a caller."""

    def connectionMade(self):
        """Count the connection."""
        self.factory.connections += 1
        super().connectionMade()

    def connectionLost(self, reason):
        """Count the connection as closed."""
        self.factory.connections -= 1
        super().connectionLost(reason)

    def _respondToBadRequestAndDisconnect(self):
        """Refuse bytes that aren't HTTP in the shape of every other refusal."""
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
    """One request of a caller, refused as soon as it is too large or too slow."""

    def __init__(self, channel, *arguments, **options):
        super().__init__(channel, *arguments, **options)
        self._factory = channel.factory
        self._size = 0
        self._is_refused = False
        self._deadline = self._factory.reactor.callLater(
            self._factory.header_timeout.total_seconds(), self._give_up_reading
        )

    def gotLength(self, length):
        """Refuse a body that is announced as too large."""
        super().gotLength(length)
        if length is not None and length > self._factory.maximum_body_bytes:
            self._refuse_early(Cause.TOO_LARGE, "the body is too large")

    def handleContentChunk(self, data):
        """Refuse a body that grows too large."""
        if self._is_refused:
            return
        self._size += len(data)
        if self._size > self._factory.maximum_body_bytes:
            self._refuse_early(Cause.TOO_LARGE, "the body is too large")
            return
        super().handleContentChunk(data)

    def requestReceived(self, command, path, version):
        """Handle the request, which is whole now."""
        self._stop_deadline()
        if not self._is_refused:
            super().requestReceived(command, path, version)

    def connectionLost(self, reason):
        """Note that the caller is gone."""
        self._stop_deadline()
        super().connectionLost(reason)

    def process(self):
        """Answer the request."""
        if self.path in (READY_PATH, LIVE_PATH):
            self._answer_health()
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

    def _answer_health(self):
        is_well = self.path == LIVE_PATH or self._factory.node.is_ready
        status = _OK if is_well else _UNAVAILABLE
        write_response(HttpResponder(self), status, _TEXT, b"ok" if is_well else b"no")

    def _give_up_reading(self):
        self._refuse_early(Cause.MALFORMED, "the request did not come in whole in time")

    def _refuse_early(self, cause, message):
        if self._is_refused:
            return
        self._is_refused = True
        self._stop_deadline()
        self.method = self.method if self.method != b"(no method yet)" else b"POST"
        self.clientproto = b"HTTP/1.1"
        self.responseHeaders.setRawHeaders(b"connection", [b"close"])
        self._refuse(EarlyResponder(self), cause, message)

    def _refuse(self, responder, cause, message):
        write_refusal(responder, Refusal(cause, Ran.NOT_RUN, message), "")

    def _stop_deadline(self):
        if self._deadline is not None and self._deadline.active():
            self._deadline.cancel()
        self._deadline = None


class CallerFactory(http.HTTPFactory):
    """Make the connections of callers, up to a number.

    Parameters
    ----------
    node : EntryNode
        What answers the requests.
    settings : Settings
        The daemon's settings.
    reactor : IReactorTime
        For time limits.
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
        """Return a connection's protocol, or None to close it at once."""
        if self.connections >= self._maximum_connections:
            return None
        protocol = super().buildProtocol(address)
        protocol.requestFactory = CallerHttpRequest
        return protocol

    def log(self, request):
        """Leave the access log to the node's observer."""
