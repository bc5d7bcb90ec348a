"""The exchange of one call of a plain service, from admission to its answer."""

from urllib.parse import unquote

from balsamspoke_routing import CallRequest
from balsamspoke_types.objects import PriorityClass
from balsamspoke_types.outcomes import Cause
from balsamspoke_types.ports import ServiceRequest

from .events import RequestEnded
from .exceptions import RequestRefused
from .exchange import BudgetedExchange
from .responses import write_refusal, write_response

SERVICE_PATH_PREFIX = "/services/"
IDEMPOTENCY_HEADER = "idempotency-key"
MAXIMUM_IDEMPOTENCY_KEY_LENGTH = 255

# No other header is forwarded, in particular not Authorization.
FORWARDED_REQUEST_HEADERS = frozenset(
    {
        "accept",
        "accept-language",
        "content-type",
        "if-match",
        "if-none-match",
        IDEMPOTENCY_HEADER,
    }
)
FORWARDED_RESPONSE_HEADERS = frozenset(
    {
        "cache-control",
        "content-language",
        "content-type",
        "etag",
        "last-modified",
        "location",
        "retry-after",
    }
)
_IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
_METHODS = _IDEMPOTENT_METHODS | {"POST", "PATCH"}


def split_service_path(request):
    """Return the name of the service and the path and query to call it with.

    Raises
    ------
    RequestRefused
        If the path names no service; if it contains ``..`` segments or backslashes,
        which could lead out of the service's own path; or if the method is not
        supported.
    """
    name, _, rest = request.target[len(SERVICE_PATH_PREFIX) :].partition("/")
    path = unquote(rest.partition("?")[0])
    if not name or ".." in path.split("/") or "\\" in path:
        raise RequestRefused(Cause.UNKNOWN_ROUTE, "no such route")
    if request.method not in _METHODS:
        raise RequestRefused(Cause.MALFORMED, "method not supported")
    return name, "/" + rest


def is_idempotent(service, method, path):
    """Return whether a call of a plain service may be repeated.

    The service's first matching ServiceCall decides, otherwise the HTTP method.

    Parameters
    ----------
    service : PlainService
        The service as configured in the catalogue.
    method : str
        HTTP method.
    path : str
        Path within the service, without the query.
    """
    for call in service.calls:
        if call.method == method and path.startswith(call.path_prefix):
            return call.idempotent
    return method in _IDEMPOTENT_METHODS


def make_service_request(request, target):
    """Return the ServiceRequest to send for a caller's request."""
    headers = tuple(
        (name, value)
        for name, value in request.headers
        if name in FORWARDED_REQUEST_HEADERS
    )
    return ServiceRequest(request.method, target, headers, request.body)


def find_idempotency_key(request):
    """Return the caller's idempotency key, or an empty string.

    Raises
    ------
    RequestRefused
        If the key is longer than MAXIMUM_IDEMPOTENCY_KEY_LENGTH.
    """
    key = request.find_header(IDEMPOTENCY_HEADER) or ""
    if len(key) > MAXIMUM_IDEMPOTENCY_KEY_LENGTH:
        raise RequestRefused(
            Cause.MALFORMED,
            f"the idempotency key is over {MAXIMUM_IDEMPOTENCY_KEY_LENGTH} characters",
        )
    return key


class CallExchange(BudgetedExchange):
    """Reserve the tokens of a call, make the call, write its answer.

    Parameters
    ----------
    context : EntryContext
        State shared by all exchanges of the entry process.
    request_id : str
        Id of the caller's request.
    principal : Principal
        Team and key of the request; empty without a key.
    service : PlainService
        The service to call.
    call : ServiceRequest
        The request to send to the service.
    idempotency_key : str
        Idempotency key from the caller; empty without one.
    responder : Responder
        Receives the HTTP response.
    """

    def __init__(
        self, context, request_id, principal, service, call, idempotency_key, responder
    ):
        super().__init__(context, request_id, principal)
        self._service = service
        self._call = call
        self._idempotency_key = idempotency_key
        self._responder = responder

    def start(self):
        """Reserve the call's tokens, if it has a team and costs any, and run it."""
        team = self._principal.team
        if not team or not self._service.tokens_per_call:
            self._running_request = self._start_run()
            return
        self._reserve(team, self._service.tokens_per_call)

    def answer(self, response):
        """Write the service's answer, with the headers that are forwarded."""
        if self._end_once(None):
            headers = [("x-request-id", self._request_id)]
            headers += [
                (name, value)
                for name, value in response.headers
                if name in FORWARDED_RESPONSE_HEADERS
            ]
            write_response(self._responder, response.status, headers, response.body)

    def refuse(self, refusal):
        """Write a refusal instead of the service's answer."""
        if self._end_once(refusal):
            write_refusal(self._responder, refusal, self._request_id)

    def add_tokens(self, text, count):
        """Ignore tokens, which a plain service never sends."""

    def finish(self, reason, total_tokens):
        """Ignore the end of a token stream, which a plain service never sends."""

    def pause(self):
        """Ignore backpressure: the answer is written all at once."""

    def resume(self):
        """Ignore the end of backpressure: the answer is written all at once."""

    def _start_run(self):
        path = self._call.path.partition("?")[0]
        request = CallRequest(
            request=self._request_id,
            team=self._principal.team,
            service=self._service.name,
            call=self._call,
            idempotent=is_idempotent(self._service, self._call.method, path),
            idempotency_key=self._idempotency_key,
            deadline=self._service.timeout,
            key_record=self._principal.key_record,
            key_version=self._principal.key_version,
        )
        return self._context.runner.run_call(request, self)

    def _count_used_tokens(self):
        return self._reservation.amount

    def _describe_end(self, refusal):
        return RequestEnded(
            request=self._request_id,
            team=self._principal.team,
            target=self._service.name,
            priority=PriorityClass.INTERACTIVE,
            refusal=refusal,
            duration=self._context.clock.monotonic() - self._arrived_at,
        )
