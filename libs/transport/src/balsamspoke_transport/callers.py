"""HTTP server side: connections that callers open to an entry process."""

from datetime import timedelta

from balsamspoke_gateway.buffering import BufferBudget
from twisted.internet.defer import Deferred
from twisted.web import http

from .caller_exchanges import CallerExchange
from .clock import ReactorClock
from .keepalive import enable_keepalive
from .send_monitor import SendMonitor
from .turns import TurnQueue

# Unsent bytes of one connection beyond which its caller counts as slow. Well above one
# event of a stream, and small enough for a thousand slow callers.
MAX_UNSENT_BYTES = 8_192
# Bytes of heads and chunked bodies that one connection may bring in one turn of the
# event loop. A body with a length costs next to nothing, whatever its size.
MAX_BYTES_PER_TURN = 4_096
# Reading from a connection pauses while this much waits behind an open request.
MAX_WAITING_BYTES = 16_384
# Sent only while a request is incomplete, so the request has not been handled.
_TIMEOUT_RESPONSE = b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n\r\n"


class CallerFactory(http.HTTPFactory):
    """Accept callers' connections.

    Parameters
    ----------
    reactor : IReactorTime
        Schedules the timeouts.
    get_limits : callable
        Returns the CallerLimits in force.
    on_request : callable
        Called with each CallerExchange; returns None or a Deferred, which is
        cancelled if the caller disconnects.
    build_refusal, build_failure : callable
        Called with the error of a refused and of a failed request, respectively; return
        the response (status, headers, body).
    is_closing : callable
        Returns whether connections are closed after their current response.
    budget : BufferBudget or None
        Bounds the memory for bodies and unsent responses; None for no bound.
    on_dropped : callable
        Called with the bytes that were unsent on a connection that was dropped, as its
        caller read too slowly.

    Attributes
    ----------
    channels : set of CallerChannel
        The open connections.
    turns : TurnQueue
        Resumes the connections that have more work than a turn may hold.
    send_monitor : SendMonitor
        Tells whether callers have got what was written to them.
    """

    noisy = False

    def __init__(
        self,
        reactor,
        get_limits,
        on_request,
        build_refusal,
        build_failure,
        is_closing,
        budget=None,
        on_dropped=lambda unsent: None,
    ):
        super().__init__(reactor=reactor)
        self.get_limits = get_limits
        self.on_request = on_request
        self.build_refusal = build_refusal
        self.build_failure = build_failure
        self.is_closing = is_closing
        self.budget = budget or BufferBudget()
        self._on_dropped = on_dropped
        clock = ReactorClock(reactor)
        self.turns = TurnQueue(clock)
        self.send_monitor = SendMonitor(clock)
        self.channels = set()

    def buildProtocol(self, address):
        """Return the protocol of a new connection."""
        channel = CallerChannel(self)
        channel.factory = self
        channel.callLater = self.reactor.callLater
        return channel

    def log(self, request):
        """Write no access log: the gateway's observer receives an event per request."""

    def read_clock(self):
        """Return the reactor's time as a timedelta."""
        return timedelta(seconds=self.reactor.seconds())

    def drop_excess(self):
        """Drop the connections of the slowest callers while memory is short."""
        for channel in self.budget.choose_excess(self.read_clock()):
            before = self.budget.held_bytes
            self.budget.release_unsent(channel)
            self._on_dropped(before - self.budget.held_bytes)
            channel.abortConnection()

    def close_idle(self):
        """Close the connections that have no open request."""
        for channel in list(self.channels):
            if not channel.requests:
                channel.loseConnection()


class CallerChannel(http.HTTPChannel):
    """One connection of a caller.

    Parameters
    ----------
    factory : CallerFactory
        Provides the limits; its ``channels`` hold this connection while it is open.

    Attributes
    ----------
    limits : CallerLimits or None
        Limits for the current request; None before the connection is made.
    is_full : bool
        Whether more than ``MAX_UNSENT_BYTES`` are unsent.
    """

    requestFactory = CallerExchange
    abortTimeout = 1

    def __init__(self, factory):
        super().__init__()
        self._factory = factory
        self._is_reading_head = False
        self._room_waiter = None
        self._unparsed = bytearray()
        self._is_handling = False
        # Whether the rest is parsed in a later turn.
        self._is_deferred = False
        self._is_closing = False
        self.is_full = False
        self.limits = None

    def connectionMade(self):
        """Start the idle timeout and register the connection with the factory."""
        self._apply_limits()
        self.timeOut = self.limits.idle_timeout.total_seconds()
        super().connectionMade()
        enable_keepalive(self.transport)
        self.transport.bufferSize = MAX_UNSENT_BYTES
        self._factory.channels.add(self)

    def connectionLost(self, reason):
        """Remove the connection from the factory."""
        self._unparsed.clear()
        self._factory.channels.discard(self)
        self._factory.send_monitor.remove(self)
        self._factory.budget.release_body(self)
        self._factory.budget.release_unsent(self)
        super().connectionLost(reason)

    def take_body(self, size):
        """Return whether there is memory for a piece of a body, and take it if so."""
        return self._factory.budget.take_body(self, size)

    def record_written(self, size):
        """Count bytes of a response, if the caller doesn't keep up with them."""
        self._factory.send_monitor.add(self)
        if self.is_full:
            now = self._factory.read_clock()
            self._factory.budget.record_unsent(self, size, now)
            self._factory.drop_excess()

    def requestDone(self, request):
        """Release the memory of the request's body; the next request may follow.

        One that has already arrived waits for the next turn of the event loop.
        """
        self._factory.budget.release_body(self)
        self._is_handling = False
        super().requestDone(request)
        if not self.persistent:
            self._unparsed.clear()
        if self._unparsed:
            self._defer()

    def allContentReceived(self):
        """Handle a whole request, and keep what follows it until it is answered."""
        following = b"".join(self._dataBuffer) + self.clearLineBuffer()
        self._dataBuffer = []
        self._unparsed[:0] = following
        self._is_handling = True
        super().allContentReceived()

    def wait_for_room(self):
        """Return a Deferred of None that fires once all written bytes were sent."""
        self._room_waiter = Deferred()
        return self._room_waiter

    def pauseProducing(self):
        """Stop reading requests, and further parts of the response, for now."""
        self.is_full = True
        super().pauseProducing()

    def resumeProducing(self):
        """Go on, since all written bytes were sent."""
        super().resumeProducing()
        if self._is_closing:
            self._networkProducer.pauseProducing()
        if not self.is_full:
            return
        self.is_full = False
        self._factory.budget.release_unsent(self)
        waiter, self._room_waiter = self._room_waiter, None
        if waiter is not None and not waiter.called:
            waiter.callback(None)

    def dataReceived(self, data):
        """Parse requests, a bounded number of bytes in each turn of the event loop."""
        self._unparsed += data
        if self._is_handling:
            if len(self._unparsed) > MAX_WAITING_BYTES:
                self._networkProducer.pauseProducing()
        elif self._is_deferred:
            # Backpressure of the answers has ended, which resumes reading.
            self._networkProducer.pauseProducing()
        elif self._parse_turn():
            self._defer()

    def _defer(self):
        if not self._is_deferred:
            self._is_deferred = True
            self._networkProducer.pauseProducing()
            self._factory.turns.add(self._parse_deferred)

    def _parse_deferred(self):
        """Parse on in a later turn; return whether there is more to parse."""
        self._is_deferred = self._parse_turn()
        is_waiting = self._waitingForTransport or self._is_closing
        if not self._is_deferred and not is_waiting:
            self._networkProducer.resumeProducing()
        return self._is_deferred

    def _parse_turn(self):
        """Parse what one turn may hold; return whether more can be parsed."""
        self._parse(MAX_BYTES_PER_TURN)
        self._parse(self._find_body_rest())
        return bool(self._unparsed) and not self._is_handling

    def _find_body_rest(self):
        """Return the bytes that are left of a body with a length."""
        return getattr(self._transferDecoder, "contentLength", None) or 0

    def _parse(self, size):
        """Parse some bytes; the first one of a request starts the header timeout."""
        if self._is_closing or self.transport.disconnecting:
            self._unparsed.clear()
        data = bytes(self._unparsed[:size])
        if not data or self._is_handling:
            return
        del self._unparsed[:size]
        if not self.requests and not self._is_reading_head:
            self._apply_limits()
            self.setTimeout(self.limits.header_timeout.total_seconds())
            self._is_reading_head = True
        super().dataReceived(data)

    def resetTimeout(self):
        """Restart the idle timeout; the header timeout is never extended."""
        if not self._is_reading_head:
            super().resetTimeout()

    def handle_head_end(self):
        """Replace the header timeout by the idle timeout for the body."""
        self._is_reading_head = False
        self.setTimeout(self.limits.idle_timeout.total_seconds())

    def timeoutConnection(self):
        """Close the connection, with a 408 response if a request is incomplete."""
        if self._is_reading_head or self.requests:
            self.transport.write(_TIMEOUT_RESPONSE)
        super().timeoutConnection()

    def loseConnection(self):
        """Close the connection once the caller has got what was written to it.

        The kernel would go on to send the rest by itself, but only for as long as its
        time limit lets the caller pause. What the caller sends meanwhile is not read,
        so that it may be sent again.
        """
        if not self._is_closing:
            self._is_closing = True
            self._networkProducer.pauseProducing()
            self.setTimeout(self.limits.idle_timeout.total_seconds())
            self._factory.send_monitor.call_when_sent(self, super().loseConnection)

    def abortConnection(self):
        """Close the connection at once, discarding unsent data."""
        self.transport.abortConnection()

    def _apply_limits(self):
        """Apply the limits in force to the next request."""
        limits = self._factory.get_limits()
        self.limits = limits
        # Twisted's attributes: bytes of one header line, and of the whole head.
        self.MAX_LENGTH = limits.header_bytes
        self.totalHeadersSize = limits.header_bytes
