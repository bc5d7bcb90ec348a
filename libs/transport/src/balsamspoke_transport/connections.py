"""Client side of HTTP/1.1: one connection to a server, one exchange at a time."""

from datetime import timedelta

import h11
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import Protocol
from zope.interface import implementer

from .exceptions import ReplyBroken, ReplyCutOff, RequestMalformed
from .http_requests import HttpHead
from .keepalive import enable_keepalive
from .request_delivery import Delivery, RequestDelivery
from .response_heads import check_head, parse_keep_alive_timeout

MAX_HEAD_BYTES = 65_536
# Events of the parser, such as heads and chunks, that one connection may bring in one
# turn of the event loop.
MAX_EVENTS_PER_TURN = 64

# Keep-alive timeout that is assumed if the server states none.
DEFAULT_KEEP_ALIVE_TIMEOUT = timedelta(seconds=2)
# Fraction of the keep-alive timeout for which an idle connection is reused; after that
# the server may already be closing it. Lower for requests that are not idempotent: one
# that is lost to a closing connection can't be retried.
REUSE_FRACTION = 0.8
REUSE_FRACTION_NOT_IDEMPOTENT = 0.5

# Interval of looks at a request that its server still reads.
DELIVERY_CHECK_INTERVAL = timedelta(milliseconds=20)


@implementer(IHalfCloseableProtocol)
class HttpConnection(Protocol):
    """A persistent connection, which serves one HttpExchange after another.

    Parameters
    ----------
    clock : Clock
        Measures how long the connection has been idle.
    turns : TurnQueue
        Resumes the connections that have more work than a turn may hold.
    send_monitor : SendMonitor
        Tells whether the server has got the requests.
    on_idle : callable
        Called with this connection when it can be used for another request.
    on_closed : callable
        Called with this connection when it is closed.

    Attributes
    ----------
    is_closed : bool
        Whether the connection is closed or being closed.
    """

    def __init__(self, clock, turns, send_monitor, on_idle, on_closed):
        self._clock = clock
        self._turns = turns
        self._send_monitor = send_monitor
        self._on_idle = on_idle
        self._on_closed = on_closed
        self._exchange = None
        self._parser = None
        self._delivery = None
        self._is_stale_response = False
        self._has_answered = False
        # Whether the end of the connection is the end of the response.
        self._is_unframed = False
        self._is_paused = False
        # Whether the rest of what was received is parsed in a later turn.
        self._is_deferred = False
        self._body_pieces = []
        self._failure_type = ReplyBroken
        self._keep_alive_timeout = DEFAULT_KEEP_ALIVE_TIMEOUT
        self._idle_since = None
        self.is_closed = False

    def connectionMade(self):
        """Set the socket options that detect a dead peer."""
        enable_keepalive(self.transport)
        self._delivery = RequestDelivery(self.transport)

    def is_usable(self, is_idempotent):
        """Return whether a request may be sent now.

        It may not while another exchange is open, or if the server may be about to
        close the connection.

        Parameters
        ----------
        is_idempotent : bool
            Whether the request is idempotent; otherwise the connection must have been
            idle for a shorter time.
        """
        if self.is_closed or self._exchange is not None:
            return False
        fraction = REUSE_FRACTION if is_idempotent else REUSE_FRACTION_NOT_IDEMPOTENT
        return (
            self._clock.monotonic() - self._idle_since
            < self._keep_alive_timeout * fraction
        )

    def start_exchange(self, exchange):
        """Send the request of an HttpExchange."""
        self._exchange = exchange
        self._is_unframed = False
        exchange.set_connection(self)
        try:
            encoded = self._start_parser()
        except h11.LocalProtocolError as error:
            self.abort_connection()
            exchange.handle_failure(RequestMalformed(str(error)))
            return
        self._delivery.write(encoded)
        self._send_monitor.add(self)

    def abort_connection(self):
        """Close the connection at once, without notifying an open exchange."""
        self._exchange = None
        self.is_closed = True
        self.transport.abortConnection()

    def resume_reading(self):
        """Continue to read after the exchange's buffer was emptied."""
        if self._is_paused:
            self._is_paused = False
            if not self._is_deferred:
                self.transport.resumeProducing()

    def dataReceived(self, data):
        """Parse bytes of the response; close an idle connection that receives any."""
        if self._exchange is None:
            # No request is open, so these bytes belong to no response.
            self.abort_connection()
            return
        self._parse(data)

    def readConnectionLost(self):
        """Handle that the server sends nothing more; it may read on.

        A server that closes in the middle of a request resets the connection as more of
        it arrives. What it has sent until then is a part of an answer without a length.
        """
        self.is_closed = True
        if self._exchange is None:
            self._close()
        elif self._is_unframed:
            self._check_delivery()
        else:
            self._end_cleanly()

    def writeConnectionLost(self):
        """Do nothing: the connection is never closed for writing alone."""

    def connectionLost(self, reason):
        """End the open exchange; a clean close may complete its response."""
        self.is_closed = True
        self._send_monitor.remove(self)
        if reason.check(ConnectionDone):
            self._complete_response()
        self._fail_lost(reason.value)
        self._on_closed(self)

    def _check_delivery(self):
        """End the exchange, unless some of its request is still on its way."""
        if self._exchange is None:
            return
        state = self._delivery.find_state()
        if state is Delivery.OPEN:
            self._clock.call_later(DELIVERY_CHECK_INTERVAL, self._check_delivery)
        elif state is Delivery.DONE:
            self._end_cleanly()
        else:
            self._fail("the connection was reset while the request was sent")

    def _end_cleanly(self):
        """End the exchange and the connection, which the server has closed."""
        self._complete_response()
        self._fail_lost(ConnectionDone())
        self._close()

    def _close(self):
        """Close the connection, at once if the server has not got all of a request."""
        if self._delivery.find_state() is Delivery.DONE:
            self.transport.loseConnection()
        else:
            self.transport.abortConnection()

    def _complete_response(self):
        """Let the clean end of the connection be that of the response."""
        self._failure_type = ReplyCutOff
        if self._exchange is not None:
            self._parse(b"")

    def _fail_lost(self, reason):
        if self._exchange is not None:
            exchange, self._exchange = self._exchange, None
            exchange.handle_failure(self._failure_type(f"connection lost: {reason}"))

    def _start_parser(self):
        """Create the parser for an exchange; return the encoded request."""
        request = self._exchange.request
        self._parser = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        headers = list(request.headers)
        if request.body or request.method not in (b"GET", b"HEAD", b"DELETE"):
            headers.append((b"Content-Length", b"%d" % len(request.body)))
        head = h11.Request(
            method=request.method, target=request.target, headers=headers
        )
        encoded = [self._parser.send(head)]
        if request.body:
            encoded.append(self._parser.send(h11.Data(data=request.body)))
        encoded.append(self._parser.send(h11.EndOfMessage()))
        return encoded

    def _parse(self, data):
        try:
            self._parser.receive_data(data)
        except h11.RemoteProtocolError as error:
            self._fail(error)
            return
        if self._handle_events():
            self._is_deferred = True
            self.transport.pauseProducing()
            self._turns.add(self._parse_deferred)

    def _parse_deferred(self):
        """Parse on in a later turn; return whether there is more to parse."""
        self._is_deferred = self._handle_events()
        if not self._is_deferred and not self._is_paused and not self.is_closed:
            self.transport.resumeProducing()
        return self._is_deferred

    def _handle_events(self):
        """Handle the events of one turn; return whether there may be more."""
        turn = range(MAX_EVENTS_PER_TURN)
        try:
            has_more = all(self._handle_next_event() for _ in turn)
            self._hand_on_body()
            return has_more
        except h11.RemoteProtocolError as error:
            self._hand_on_body()
            self._fail(error)
            return False

    def _handle_next_event(self):
        """Handle the parser's next event; return whether there may be another one."""
        if self._exchange is None:
            return False
        unparsed = self._find_unparsed_head()
        event = self._parser.next_event()
        kind = type(event)
        if kind is h11.Data:
            self._body_pieces.append(bytes(event.data))
            return True
        self._hand_on_body()
        if event is h11.NEED_DATA or event is h11.PAUSED:
            return False
        if kind is h11.Response:
            rest, _ = self._parser.trailing_data
            check_head(event, unparsed.removesuffix(rest))
            self._handle_head(event)
        elif kind is h11.EndOfMessage and self._exchange is not None:
            self._handle_end()
        return kind is not h11.ConnectionClosed

    def _find_unparsed_head(self):
        """Return the bytes that begin with the next head; none within a response."""
        if self._parser.their_state is not h11.SEND_RESPONSE:
            return b""
        unparsed, _ = self._parser.trailing_data
        return unparsed

    def _hand_on_body(self):
        """Hand the pieces of the body that came together to the exchange as one."""
        pieces, self._body_pieces = self._body_pieces, []
        if pieces and self._exchange is not None:
            self._handle_data(b"".join(pieces))

    def _fail(self, error):
        exchange, self._exchange = self._exchange, None
        self.is_closed = True
        self.transport.abortConnection()
        if exchange is not None:
            exchange.handle_failure(self._failure_type(f"no HTTP answer: {error}"))

    def _handle_head(self, event):
        head = HttpHead(event.status_code, tuple(event.headers))
        self._is_stale_response = self._is_for_earlier_request(head)
        self._has_answered = True
        if not self._is_stale_response:
            self._is_unframed = not head.is_framed
            timeout = parse_keep_alive_timeout(head)
            if timeout is not None:
                self._keep_alive_timeout = timeout
            self._exchange.handle_head(head)

    def _is_for_earlier_request(self, head):
        """Return whether an HttpHead answers an earlier request, late or once more.

        Raises
        ------
        h11.RemoteProtocolError
            If it doesn't tell which request it answers.
        """
        own_id = self._exchange.request.id
        ids = set(head.find_all(self._exchange.id_header))
        if not own_id or ids == {own_id}:
            return False
        if not ids and not self._has_answered:
            # No other request was sent on this connection.
            return False
        if not ids or own_id in ids:
            raise h11.RemoteProtocolError("the answer does not tell its request")
        return True

    def _handle_data(self, data):
        if self._is_stale_response or self._exchange.handle_data(data):
            return
        self._is_paused = True
        self.transport.pauseProducing()

    def _handle_end(self):
        if self._is_stale_response:
            self._skip_stale_response()
            return
        exchange, self._exchange = self._exchange, None
        if self._can_be_reused():
            self._idle_since = self._clock.monotonic()
            self.resume_reading()
            self._on_idle(self)
        else:
            self.is_closed = True
            self.transport.loseConnection()
        exchange.handle_end()

    def _can_be_reused(self):
        is_response_done = self._parser.their_state is h11.DONE
        has_more = bool(self._parser.trailing_data[0])
        is_request_done = self._parser.our_state is h11.DONE
        return (
            is_request_done and is_response_done and not has_more and not self.is_closed
        )

    def _skip_stale_response(self):
        """Parse the bytes after a stale response as the response to this request."""
        rest = self._parser.trailing_data[0]
        if self._parser.their_state is not h11.DONE:
            raise h11.RemoteProtocolError("the answer belongs to another request")
        self._start_parser()
        self._is_stale_response = False
        if rest:
            self._parser.receive_data(rest)
