"""HTTP calls with a deadline, telling unsent requests from lost replies."""

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
# Below the time after which common servers close an idle connection, so that a
# request is seldom sent into a closing one.
IDLE_CONNECTION_LIFETIME = timedelta(seconds=20)
CONNECTIONS_KEPT = 64
LARGEST_REPLY_BYTES = 16_000_000


def build_agent(reactor, connections=CONNECTIONS_KEPT):
    """Return an Agent with persistent connections that never retries by itself.

    Parameters
    ----------
    reactor : IReactorTCP
        Makes the connections.
    connections : int
        Idle connections that are kept for each server.
    """
    pool = HTTPConnectionPool(reactor, persistent=True)
    pool.maxPersistentPerHost = connections
    pool.cachedConnectionTimeout = IDLE_CONNECTION_LIFETIME.total_seconds()
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
    """A whole reply.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple of tuple of str
        Names in lower case, and values, in their order.
    body : bytes
        Content.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def find_header(self, name):
        """Return the last value of a header, named in lower case, or None."""
        values = [value for found, value in self.headers if found == name]
        return values[-1] if values else None


class HttpCaller:
    """Make calls to one server.

    Parameters
    ----------
    agent : IAgent
        Sends the requests.
    reactor : IReactorTime
        Runs the deadlines.
    base_url : str
        Put before each path, without a slash at the end.
    """

    def __init__(self, agent, reactor, base_url):
        self.agent = agent
        self.reactor = reactor
        self.base_url = base_url.rstrip("/")

    def open(self, method, path, headers=(), body=None):
        """Send a request; return a Deferred of the IResponse, its body unread.

        It fails with NotSent or ReplyLost, also when it is cancelled.
        """
        producer = None if body is None else _BytesProducer(body)
        fields = Headers()
        for name, value in headers:
            fields.addRawHeader(name, value)
        url = (self.base_url + path).encode()
        sent = self.agent.request(method.encode(), url, fields, producer)
        return sent.addErrback(_raise_failure)

    @inlineCallbacks
    def call(self, method, path, timeout, headers=(), body=None):
        """Send a request and read the whole reply.

        Parameters
        ----------
        method, path : str
            The request line; the path is quoted already.
        timeout : timedelta
            For the whole call.
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
        response = yield self._limit(opened, deadline)
        content = yield self._limit(read_body(response), deadline)
        return HttpReply(response.code, _read_headers(response), content)

    def _limit(self, waiting, deadline):
        left = max(0.0, deadline - self.reactor.seconds())
        expiry = self.reactor.callLater(left, waiting.cancel)

        def stop(result):
            if expiry.active():
                expiry.cancel()
            return result

        return waiting.addBoth(stop)


def read_body(response):
    """Return a Deferred of the whole body of an IResponse.

    It fails with ReplyLost if the body is cut short or too large, or if the
    Deferred is cancelled, which closes the connection.
    """
    reader = _BodyReader()
    response.deliverBody(reader)
    return reader.whole


class _BodyReader(Protocol):
    def __init__(self):
        self.whole = Deferred(lambda _: self._give_up("no whole reply in time"))
        self._pieces = []
        self._size = 0

    def dataReceived(self, data):
        if self.whole.called:
            return
        self._pieces.append(data)
        self._size += len(data)
        if self._size > LARGEST_REPLY_BYTES:
            self._give_up(f"the reply is over {LARGEST_REPLY_BYTES} bytes")

    def connectionLost(self, reason):
        if self.whole.called:
            return
        if reason.check(ResponseDone):
            self.whole.callback(b"".join(self._pieces))
        else:
            self.whole.errback(ReplyLost("the reply is cut short"))

    def _give_up(self, problem):
        self._pieces.clear()
        self.transport.loseConnection()
        if not self.whole.called:
            self.whole.errback(ReplyLost(problem))


def _read_headers(response):
    return tuple(
        (name.decode("latin-1").lower(), value.decode("latin-1"))
        for name, values in response.headers.getAllRawHeaders()
        for value in values
    )


def _raise_failure(failure):
    error = failure.value
    if isinstance(error, (ConnectError, ConnectingCancelledError)):
        raise NotSent(f"no connection: {error}") from error
    if isinstance(error, CancelledError):
        raise ReplyLost("no reply in time") from error
    raise ReplyLost(f"no reply: {error!r}") from error
