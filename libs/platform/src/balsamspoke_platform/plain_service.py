"""A plain service over HTTP."""

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
# Headers of one connection, not of the message (RFC 9110, 7.6.1).
_CONNECTION_HEADERS = frozenset(
    ("connection", "keep-alive", "transfer-encoding", "content-length", "upgrade")
)


class HttpPlainService(PlainServiceClient):
    """Call the plain service beside this process.

    Parameters
    ----------
    caller : HttpCaller
        Calls the service.
    timeout : timedelta
        Longest wait for an answer.
    """

    def __init__(self, caller, timeout=CALL_TIMEOUT):
        self._caller = caller
        self._timeout = timeout

    def call(self, request):
        """Send a ServiceRequest; return a Deferred of a ServiceResponse.

        It fails with BackendUnreachable or BackendLost; cancelling it gives up
        the answer, not the call.
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
        """Return a Deferred of None; fails with BackendError if it isn't ready."""
        reply = yield self._ask("GET", HEALTH_PATH, CHECK_TIMEOUT)
        if reply.status != _OK:
            raise BackendRefused(f"not ready: {reply.status}", reply.status)

    @inlineCallbacks
    def _send(self, request):
        headers = _drop_connection_headers(request.headers)
        reply = yield self._ask(
            request.method, request.path, self._timeout, headers, request.body or None
        )
        kept = _drop_connection_headers(reply.headers)
        return ServiceResponse(reply.status, kept, reply.body)

    @inlineCallbacks
    def _ask(self, *arguments):
        try:
            return (yield self._caller.call(*arguments))
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
