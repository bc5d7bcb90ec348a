"""HTTP connections of callers."""

from io import BytesIO

from balsamspoke_gateway.ports import CallerSink
from twisted.web import http

from .connections import set_probes

# Headers that concern one connection only, or that are set anew here.
_NOT_PASSED = frozenset(
    (b"connection", b"keep-alive", b"transfer-encoding", b"content-length")
)


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
        Runs the idle limit.
    idle_timeout : timedelta
        For a connection without a request.
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
        idle_timeout,
        on_request,
        describe_refusal,
        describe_failure,
        is_closing,
    ):
        super().__init__(timeout=idle_timeout.total_seconds(), reactor=reactor)
        self.on_request = on_request
        self.describe_refusal = describe_refusal
        self.describe_failure = describe_failure
        self.is_closing = is_closing
        self.channels = set()

    def buildProtocol(self, address):
        """Return the protocol of a new connection."""
        channel = CallerChannel(self)
        channel.factory = self
        channel.timeOut = self.timeOut
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
        self._channels = factory.channels

    def connectionMade(self):
        """Keep account of the connection."""
        super().connectionMade()
        set_probes(self.transport)
        self._channels.add(self)

    def connectionLost(self, reason):
        """Forget the connection."""
        self._channels.discard(self)
        super().connectionLost(reason)

    def abortConnection(self):
        """Close at once."""
        self.transport.abortConnection()
