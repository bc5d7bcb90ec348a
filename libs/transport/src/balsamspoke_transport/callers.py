"""HTTP connections of callers."""

from io import BytesIO

from balsamspoke_gateway.ports import CallerSink
from twisted.web import http

from .connections import set_probes

# Headers that concern one connection only, or that are set anew here.
_NOT_PASSED = frozenset(
    (b"connection", b"keep-alive", b"transfer-encoding", b"content-length")
)
# The time runs only until a request has come whole: it has not been handled.
_REQUEST_TIMEOUT = b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n\r\n"


class CallerExchange(http.Request, CallerSink):
    """A caller's request, and the sink for its answer."""

    status = 0
    _running = None
    # A form's fields are none of the gateway's business.
    _parsePOSTFormSubmission = False

    @property
    def is_started(self):
        """Whether the head of an answer was written."""
        return self.status != 0

    def gotLength(self, length):
        """Keep the body in memory: the VM has no disk."""
        self.content = BytesIO()
        self.channel.note_head_end()

    def handleContentChunk(self, data):
        """Keep a piece of the body, up to one byte beyond the limit.

        The rest is read and dropped, so that a caller who sends too much costs no
        memory and still gets an answer.
        """
        room = self.channel.limits.body_bytes + 1 - self.content.tell()
        self.content.write(data[:room])

    def process(self):
        """Take the request, which has come whole."""
        self._running = self.channel.factory.on_request(self)

    def connectionLost(self, reason):
        """Stop what runs for a caller that has left."""
        running, self._running = self._running, None
        super().connectionLost(reason)
        if running is not None:
            running.cancel()

    def start(self, status, headers, length=None):
        """Write the head of an answer."""
        self.status = status
        self.setResponseCode(status, http.RESPONSES.get(status, b"Answer"))
        fields = self.responseHeaders
        for name, value in headers:
            if name.lower() not in _NOT_PASSED:
                fields.addRawHeader(name, value)
        if length is not None:
            fields.setRawHeaders(b"content-length", [b"%d" % length])
        if self.channel.factory.is_closing():
            fields.setRawHeaders(b"connection", [b"close"])
            self.channel.persistent = False

    def finish(self):
        """End a whole answer."""
        self._running = None
        super().finish()

    def abort(self):
        """Close the connection in the middle of an answer."""
        self._running = None
        self.channel.abortConnection()

    def refuse(self, error):
        """Write the answer of a refusal."""
        self._write_whole(self.channel.factory.describe_refusal(error))

    def fail(self, error):
        """Write the answer of a failure."""
        self._write_whole(self.channel.factory.describe_failure(error))

    def _write_whole(self, answer):
        self.start(answer.status, answer.headers, len(answer.body))
        self.write(answer.body)
        self.finish()


class CallerFactory(http.HTTPFactory):
    """Accept callers' connections.

    Parameters
    ----------
    reactor : IReactorTime
        Runs the time limits.
    find_limits : callable
        Returns the CallerLimits in force.
    on_request : callable
        Called with a CallerExchange; returns a Deferred to cancel, or None.
    describe_refusal, describe_failure : callable
        Return the answer (status, headers, body) for an error.
    is_closing : callable
        Whether connections end after their current answer.
    """

    noisy = False

    def __init__(
        self,
        reactor,
        find_limits,
        on_request,
        describe_refusal,
        describe_failure,
        is_closing,
    ):
        super().__init__(reactor=reactor)
        self.find_limits = find_limits
        self.on_request = on_request
        self.describe_refusal = describe_refusal
        self.describe_failure = describe_failure
        self.is_closing = is_closing
        self.channels = set()

    def buildProtocol(self, address):
        """Return the protocol of a new connection."""
        channel = CallerChannel(self)
        channel.factory = self
        channel.callLater = self.reactor.callLater
        return channel

    def log(self, request):
        """Write no access log: the gateway's observer tells of each request."""

    def close_idle(self):
        """Close the connections that have no request."""
        for channel in list(self.channels):
            if not channel.requests:
                channel.loseConnection()


class CallerChannel(http.HTTPChannel):
    """One connection of a caller."""

    requestFactory = CallerExchange
    abortTimeout = 1

    def __init__(self, factory):
        super().__init__()
        self._factory = factory
        self._is_reading_head = False
        self.limits = None

    def connectionMade(self):
        """Keep account of the connection."""
        self._adopt_limits()
        self.timeOut = self.limits.idle_timeout.total_seconds()
        super().connectionMade()
        set_probes(self.transport)
        self._factory.channels.add(self)

    def connectionLost(self, reason):
        """Forget the connection."""
        self._factory.channels.discard(self)
        super().connectionLost(reason)

    def dataReceived(self, data):
        """Read requests; the first byte of each starts its head's time."""
        if not self.requests and not self._is_reading_head:
            self._adopt_limits()
            self.setTimeout(self.limits.header_timeout.total_seconds())
            self._is_reading_head = True
        super().dataReceived(data)

    def resetTimeout(self):
        """Start the idle time anew; a head's time goes on."""
        if not self._is_reading_head:
            super().resetTimeout()

    def note_head_end(self):
        """Let the idle time begin, within which the body's next piece must come."""
        self._is_reading_head = False
        self.setTimeout(self.limits.idle_timeout.total_seconds())

    def timeoutConnection(self):
        """Close; a caller in the middle of a request is told that it has not run."""
        if self._is_reading_head or self.requests:
            self.transport.write(_REQUEST_TIMEOUT)
        super().timeoutConnection()

    def abortConnection(self):
        """Close at once."""
        self.transport.abortConnection()

    def _adopt_limits(self):
        """Put the limits in force for the next request."""
        limits = self._factory.find_limits()
        self.limits = limits
        # Twisted's names: the longest line, and all lines of a head.
        self.MAX_LENGTH = limits.header_bytes
        self.totalHeadersSize = limits.header_bytes
