"""HTTP calls with a deadline, telling unsent requests from lost replies."""

from dataclasses import dataclass
from datetime import timedelta

from twisted.internet.defer import CancelledError, inlineCallbacks, succeed
from twisted.internet.error import ConnectError, ConnectingCancelledError
from twisted.web.client import (
    Agent,
    HTTPConnectionPool,
    PartialDownloadError,
    readBody,
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
    """A whole reply; header names are in lower case."""

    status: int
    headers: dict
    body: bytes


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
        reading = readBody(response).addErrback(_raise_failure)
        content = yield self._limit(reading, deadline)
        return HttpReply(response.code, _read_headers(response), content)

    def _limit(self, waiting, deadline):
        left = max(0.0, deadline - self.reactor.seconds())
        expiry = self.reactor.callLater(left, waiting.cancel)

        def stop(result):
            if expiry.active():
                expiry.cancel()
            return result

        return waiting.addBoth(stop)


def _read_headers(response):
    return {
        name.decode("latin-1").lower(): values[-1].decode("latin-1")
        for name, values in response.headers.getAllRawHeaders()
    }


def _raise_failure(failure):
    error = failure.value
    if isinstance(error, (ConnectError, ConnectingCancelledError)):
        raise NotSent(f"no connection: {error}") from error
    if isinstance(error, PartialDownloadError):
        raise ReplyLost("the reply is cut short") from error
    if isinstance(error, CancelledError):
        raise ReplyLost("no reply in time") from error
    raise ReplyLost(f"no reply: {error!r}") from error
