"""HTTP client of a plain service."""

from datetime import timedelta

from balsamspoke_types.exceptions import (
    BackendLost,
    BackendRefused,
    BackendUnreachable,
)
from balsamspoke_types.ports import PlainServiceClient, ServiceResponse
from twisted.internet.defer import Deferred, inlineCallbacks

from .exceptions import HttpFailure, NotSent

CALL_TIMEOUT = timedelta(seconds=60)
CHECK_TIMEOUT = timedelta(seconds=2)
HEALTH_PATH = "/health"
_OK = 200
# Connection-specific headers, which must not be forwarded (RFC 9110, 7.6.1), and the
# content length, which is set for each message.
_CONNECTION_HEADERS = frozenset(
    ("connection", "keep-alive", "transfer-encoding", "content-length", "upgrade")
)


class HttpPlainService(PlainServiceClient):
    """Client of the plain service that this side process runs beside.

    Parameters
    ----------
    client : HttpClient
        Sends requests to the service.
    timeout : timedelta
        Time limit for each call.
    """

    def __init__(self, client, timeout=CALL_TIMEOUT):
        self._client = client
        self._timeout = timeout

    def call(self, request):
        """Send a ServiceRequest.

        Returns
        -------
        Deferred of ServiceResponse
            Fails with BackendUnreachable if nothing was sent, with BackendLost if
            the reply was lost. Cancelling it discards the response; the call itself
            goes on.
        """
        answer = Deferred(lambda _: None)
        sending = self._send(request)
        sending.addCallbacks(
            lambda response: answer.called or answer.callback(response),
            lambda failure: answer.called or answer.errback(failure),
        )
        return answer

    @inlineCallbacks
    def check(self):
        """Check that the service is ready.

        Returns
        -------
        Deferred of None
            Fails with BackendError if the service isn't ready.
        """
        reply = yield self._request("GET", HEALTH_PATH, CHECK_TIMEOUT)
        if reply.status != _OK:
            raise BackendRefused(
                f"the health check answered {reply.status}", reply.status
            )

    @inlineCallbacks
    def _send(self, request):
        headers = _drop_connection_headers(request.headers)
        reply = yield self._request(
            request.method, request.path, self._timeout, headers, request.body or None
        )
        response_headers = _drop_connection_headers(reply.headers)
        return ServiceResponse(reply.status, response_headers, reply.body)

    @inlineCallbacks
    def _request(self, *arguments):
        try:
            return (yield self._client.call(*arguments))
        except NotSent as error:
            raise BackendUnreachable(str(error)) from error
        except HttpFailure as error:
            raise BackendLost(str(error)) from error


def _drop_connection_headers(headers):
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in _CONNECTION_HEADERS
    )
