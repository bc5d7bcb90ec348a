"""One HTTP/1.1 connection to a server, one exchange at a time."""

import socket
from collections import deque
from datetime import timedelta

import h11
from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol

from .exceptions import ReplyBroken
from .http_requests import HttpHead

# Data that stays unacknowledged this long ends a connection: the other end is cut
# off or without power. Well above a lost packet's repetition.
USER_TIMEOUT = timedelta(milliseconds=1500)
# Probes on a silent connection find out that the other end is gone.
PROBE_IDLE_SECONDS = 1
PROBE_INTERVAL_SECONDS = 1
PROBES = 2
# Bytes of a body that wait for their reader before the connection is not read on.
MOST_BUFFERED_BYTES = 262_144
LARGEST_HEAD_BYTES = 65_536

# How long an idle connection is used again if the server states no time.
DEFAULT_IDLE = timedelta(seconds=2)
# Part of the stated time after which the server may be closing it already.
IDLE_PART = 0.8
IDLE_PART_NOT_IDEMPOTENT = 0.5

_TIMEOUT_FIELD = b"timeout="


class HttpExchange:
    """A request on a connection and its answer.

    Parameters
    ----------
    request : HttpRequest
        What to send.
    id_header : bytes
        Name of the header that echoes the request's id, in lower case.
    """

    def __init__(self, request, id_header):
        self.request = request
        self.id_header = id_header
        self._head = Deferred(self._cancel)
        self._pieces = deque()
        self._buffered = 0
        self._reader = None
        self._is_ended = False
        self._failure = None
        self._connection = None
        self._connecting = None

    def read_head(self):
        """Return a Deferred of the HttpHead; called once."""
        return self._head

    def read_piece(self):
        """Return a Deferred of the body's next bytes; empty at its end."""
        if self._pieces:
            data = b"".join(self._pieces)
            self._pieces.clear()
            self._buffered = 0
            if self._connection is not None:
                self._connection.resume_reading()
            return succeed(data)
        if self._failure is not None:
            return fail(self._failure)
        if self._is_ended:
            return succeed(b"")
        self._reader = Deferred(self._cancel)
        return self._reader

    def abort(self):
        """Close the connection, if the answer is not whole yet."""
        if self._is_ended or self._failure is not None:
            return
        self._failure = ReplyBroken("aborted here")
        if self._connecting is not None:
            self._connecting.cancel()
        if self._connection is not None:
            connection, self._connection = self._connection, None
            connection.drop()

    @property
    def is_aborted(self):
        """Whether nothing more is wanted of it."""
        return self._failure is not None

    def note_connecting(self, connecting):
        """Take the Deferred to cancel while there is no connection."""
        self._connecting = connecting

    def note_connection(self, connection):
        """Take the connection that it is on."""
        self._connecting = None
        self._connection = connection

    def take_head(self, head):
        """Take the answer's head."""
        self._head.callback(head)

    def take_data(self, data):
        """Take bytes of the body; return whether to read on."""
        if self._reader is not None:
            reader, self._reader = self._reader, None
            reader.callback(data)
            return True
        self._pieces.append(data)
        self._buffered += len(data)
        return self._buffered < MOST_BUFFERED_BYTES

    def take_end(self):
        """Take the proper end of the answer."""
        self._is_ended = True
        self._connection = None
        if self._reader is not None:
            reader, self._reader = self._reader, None
            reader.callback(b"")

    def take_failure(self, error):
        """Take the exception that ended the exchange."""
        if self._is_ended or self._failure is not None:
            return
        self._failure = error
        self._connection = None
        reader, self._reader = self._reader, None
        if not self._head.called:
            self._head.errback(error)
        elif reader is not None:
            reader.errback(error)

    def _cancel(self, _):
        self.abort()


class HttpConnection(Protocol):
    """A connection that is kept for further requests.

    Parameters
    ----------
    clock : Clock
        Dates the last use.
    on_free, on_lost : callable
        Called with this connection when it can take another request, and when it
        is gone.
    """

    def __init__(self, clock, on_free, on_lost):
        self._clock = clock
        self._on_free = on_free
        self._on_lost = on_lost
        self._exchange = None
        self._parser = None
        self._is_foreign = False
        self._is_paused = False
        self._idle_time = DEFAULT_IDLE
        self._free_since = None
        self.is_lost = False

    def connectionMade(self):
        """Set the options that find dead connections."""
        set_probes(self.transport)

    def is_usable(self, is_idempotent):
        """Whether a request may be sent now: the server is not about to close."""
        if self.is_lost or self._exchange is not None:
            return False
        part = IDLE_PART if is_idempotent else IDLE_PART_NOT_IDEMPOTENT
        return self._clock.monotonic() - self._free_since < self._idle_time * part

    def begin(self, exchange):
        """Send an HttpExchange's request."""
        self._exchange = exchange
        exchange.note_connection(self)
        self.transport.writeSequence(self._start_parser())

    def drop(self):
        """Close at once; whatever is under way is lost."""
        self._exchange = None
        self.is_lost = True
        self.transport.abortConnection()

    def resume_reading(self):
        """Read on after the buffer was emptied."""
        if self._is_paused:
            self._is_paused = False
            self.transport.resumeProducing()

    def dataReceived(self, data):
        """Take bytes of the answer."""
        if self._exchange is None:
            # No request is open: these bytes answer nothing.
            self.drop()
            return
        self._feed(data)

    def connectionLost(self, reason):
        """End what was under way; a clean end may complete the answer."""
        self.is_lost = True
        if self._exchange is not None and reason.check(ConnectionDone):
            self._feed(b"")
        if self._exchange is not None:
            exchange, self._exchange = self._exchange, None
            exchange.take_failure(ReplyBroken(f"connection lost: {reason.value}"))
        self._on_lost(self)

    def _start_parser(self):
        request = self._exchange.request
        self._parser = h11.Connection(h11.CLIENT, LARGEST_HEAD_BYTES)
        headers = list(request.headers)
        if request.body or request.method not in (b"GET", b"HEAD", b"DELETE"):
            headers.append((b"Content-Length", b"%d" % len(request.body)))
        head = h11.Request(
            method=request.method, target=request.target, headers=headers
        )
        sent = [self._parser.send(head)]
        if request.body:
            sent.append(self._parser.send(h11.Data(data=request.body)))
        sent.append(self._parser.send(h11.EndOfMessage()))
        return sent

    def _feed(self, data):
        try:
            self._parser.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError as error:
            exchange, self._exchange = self._exchange, None
            self.is_lost = True
            self.transport.abortConnection()
            if exchange is not None:
                exchange.take_failure(ReplyBroken(f"no HTTP answer: {error}"))

    def _read_events(self):
        while self._exchange is not None:
            event = self._parser.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            kind = type(event)
            if kind is h11.Data:
                self._take_data(bytes(event.data))
            elif kind is h11.Response:
                self._take_head(event)
            elif kind is h11.EndOfMessage:
                self._take_end()
            elif kind is h11.ConnectionClosed:
                return

    def _take_head(self, event):
        head = HttpHead(event.status_code, tuple(event.headers))
        request = self._exchange.request
        echoed = head.find(self._exchange.id_header) if request.id else None
        # An answer to an earlier request may come late; the id tells it.
        self._is_foreign = echoed is not None and echoed != request.id
        if not self._is_foreign:
            self._note_idle_time(head)
            self._exchange.take_head(head)

    def _note_idle_time(self, head):
        stated = head.find(b"keep-alive") or b""
        for field in stated.split(b","):
            value = field.strip()
            if value.startswith(_TIMEOUT_FIELD) and value[8:].isdigit():
                self._idle_time = timedelta(seconds=int(value[8:]))

    def _take_data(self, data):
        if self._is_foreign or self._exchange.take_data(data):
            return
        self._is_paused = True
        self.transport.pauseProducing()

    def _take_end(self):
        if self._is_foreign:
            self._skip_foreign()
            return
        exchange, self._exchange = self._exchange, None
        if self._may_be_kept():
            self._free_since = self._clock.monotonic()
            self.resume_reading()
            self._on_free(self)
        else:
            self.is_lost = True
            self.transport.loseConnection()
        exchange.take_end()

    def _may_be_kept(self):
        is_done = self._parser.their_state is h11.DONE
        has_more = bool(self._parser.trailing_data[0])
        is_sent = self._parser.our_state is h11.DONE
        return is_sent and is_done and not has_more and not self.is_lost

    def _skip_foreign(self):
        rest = self._parser.trailing_data[0]
        if self._parser.their_state is not h11.DONE:
            raise h11.RemoteProtocolError("the answer belongs to another request")
        self._start_parser()
        self._is_foreign = False
        if rest:
            self._parser.receive_data(rest)


def set_probes(transport):
    """Make the kernel end a connection whose other end is silent."""
    transport.setTcpNoDelay(True)
    transport.setTcpKeepAlive(True)
    handle = transport.getHandle()
    options = (
        (socket.TCP_KEEPIDLE, PROBE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, PROBE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, PROBES),
        (socket.TCP_USER_TIMEOUT, int(USER_TIMEOUT.total_seconds() * 1000)),
    )
    for option, value in options:
        handle.setsockopt(socket.IPPROTO_TCP, option, value)
