"""HTTP client whose errors distinguish unsent requests from lost replies.

An unsent request can be repeated safely; one whose reply is lost may have taken effect.
"""

from dataclasses import dataclass
from datetime import timedelta

from twisted.internet.defer import (
    CancelledError,
    Deferred,
    inlineCallbacks,
    succeed,
)
from twisted.internet.error import ConnectError, ConnectingCancelledError
from twisted.internet.protocol import Protocol
from twisted.web.client import (
    Agent,
    HTTPConnectionPool,
    ResponseDone,
)
from twisted.web.http_headers import Headers
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

from .exceptions import NotSent, ReplyLost

CONNECT_TIMEOUT = timedelta(seconds=2)
# Below the idle timeout of common servers, so that a request is seldom sent on a
# connection that the server is closing.
IDLE_CONNECTION_TIMEOUT = timedelta(seconds=20)
MAX_IDLE_CONNECTIONS = 64
MAX_REPLY_BYTES = 16_000_000
# The client handles the statuses below by itself.
MIN_STATUS = 200
MAX_STATUS = 599
_PROTOCOL = (b"HTTP", 1)


def build_agent(reactor, connections=MAX_IDLE_CONNECTIONS):
    """Return an Agent with persistent connections and no automatic retries.

    Parameters
    ----------
    reactor : IReactorTCP
        Opens the connections.
    connections : int
        Maximum number of idle connections kept open per server.
    """
    pool = HTTPConnectionPool(reactor, persistent=True)
    pool.maxPersistentPerHost = connections
    pool.cachedConnectionTimeout = IDLE_CONNECTION_TIMEOUT.total_seconds()
    pool.retryAutomatically = False
    timeout = CONNECT_TIMEOUT.total_seconds()
    return Agent(reactor, connectTimeout=timeout, pool=pool)


@implementer(IBodyProducer)
class _BytesProducer:
    def __init__(self, content):
        self.length = len(content)
        self._content = content

    def startProducing(self, consumer):
        consumer.write(self._content)
        return succeed(None)

    def pauseProducing(self):
        pass

    def resumeProducing(self):
        pass

    def stopProducing(self):
        pass


@dataclass(frozen=True, slots=True)
class HttpReply:
    """A complete reply.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple of tuple of str
        Pairs of name, in lower case, and value, in the order received.
    body : bytes
        Content, at most ``MAX_REPLY_BYTES`` long.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def find_header(self, name):
        """Return the last value of a header, or None.

        Parameters
        ----------
        name : str
            Name in lower case.
        """
        values = [value for header, value in self.headers if header == name]
        return values[-1] if values else None


class HttpClient:
    """Send requests to one server.

    Parameters
    ----------
    agent : IAgent
        Sends the requests.
    reactor : IReactorTime
        Runs the timeouts.
    base_url : str
        Prefix of each path; a trailing slash is removed.
    """

    def __init__(self, agent, reactor, base_url):
        self.agent = agent
        self.reactor = reactor
        self.base_url = base_url.rstrip("/")

    def open(self, method, path, headers=(), body=None):
        """Send a request; leave the body of the reply unread.

        Only opening the connection has a timeout.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            Path and query, already quoted.
        headers : iterable of tuple of str
            Names and values.
        body : bytes or None
            Content.

        Returns
        -------
        Deferred of IResponse
            Fails with NotSent or ReplyLost, also if it is cancelled.
        """
        producer = None if body is None else _BytesProducer(body)
        fields = Headers()
        for name, value in headers:
            fields.addRawHeader(name, value)
        url = (self.base_url + path).encode()
        sent = self.agent.request(method.encode(), url, fields, producer)
        return sent.addCallbacks(_check_head, _translate_failure)

    @inlineCallbacks
    def call(self, method, path, timeout, headers=(), body=None):
        """Send a request and read the complete reply.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            Path and query, already quoted.
        timeout : timedelta
            Time limit for the whole call.
        headers : iterable of tuple of str
            Names and values.
        body : bytes or None
            Content.

        Returns
        -------
        Deferred of HttpReply
            Fails with NotSent or ReplyLost.
        """
        deadline = self.reactor.seconds() + timeout.total_seconds()
        opened = self.open(method, path, headers, body)
        response = yield self._cancel_at(opened, deadline)
        content = yield self._cancel_at(read_body(response), deadline)
        return HttpReply(response.code, _read_headers(response), content)

    def _cancel_at(self, pending, deadline):
        remaining = max(0.0, deadline - self.reactor.seconds())
        timer = self.reactor.callLater(remaining, pending.cancel)

        def stop_timer(result):
            if timer.active():
                timer.cancel()
            return result

        return pending.addBoth(stop_timer)


def _check_head(response):
    """Return an IResponse; raise ReplyLost and close its connection if it is none."""
    protocol, major, _ = response.version
    is_http = (protocol, major) == _PROTOCOL
    if is_http and MIN_STATUS <= response.code <= MAX_STATUS:
        return response
    read_body(response).addErrback(lambda failure: failure.trap(ReplyLost)).cancel()
    raise ReplyLost(f"no reply of HTTP/1: version {major}, status {response.code}")


def read_body(response):
    """Read the body of an IResponse.

    Returns
    -------
    Deferred of bytes
        Fails with ReplyLost if the body is incomplete or longer than
        ``MAX_REPLY_BYTES``. Cancelling it closes the connection.
    """
    reader = _BodyReader()
    response.deliverBody(reader)
    return reader.body


class _BodyReader(Protocol):
    def __init__(self):
        self.body = Deferred(
            lambda _: self._fail("timed out or cancelled while reading the reply")
        )
        self._pieces = []
        self._size = 0

    def dataReceived(self, data):
        if self.body.called:
            return
        self._pieces.append(data)
        self._size += len(data)
        if self._size > MAX_REPLY_BYTES:
            self._fail(f"the reply is over {MAX_REPLY_BYTES} bytes")

    def connectionLost(self, reason):
        if self.body.called:
            return
        if reason.check(ResponseDone):
            self.body.callback(b"".join(self._pieces))
        else:
            self.body.errback(
                ReplyLost("the connection was lost before the end of the reply")
            )

    def _fail(self, message):
        self._pieces.clear()
        self.transport.loseConnection()
        if not self.body.called:
            self.body.errback(ReplyLost(message))


def _read_headers(response):
    return tuple(
        (name.decode("latin-1").lower(), value.decode("latin-1"))
        for name, values in response.headers.getAllRawHeaders()
        for value in values
    )


def _translate_failure(failure):
    error = failure.value
    if isinstance(error, (ConnectError, ConnectingCancelledError)):
        raise NotSent(f"could not connect: {error}") from error
    if isinstance(error, CancelledError):
        raise ReplyLost("timed out or cancelled before the reply") from error
    raise ReplyLost(f"the request failed: {error!r}") from error
