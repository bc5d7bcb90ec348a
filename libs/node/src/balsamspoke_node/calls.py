"""One call of a plain service, from its admission to its answer."""

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

# Every other header stays behind: the Authorization header is not among these.
PASSED_ON_HEADERS = frozenset(
    {
        "accept",
        "accept-language",
        "content-type",
        "if-match",
        "if-none-match",
        IDEMPOTENCY_HEADER,
    }
)
PASSED_BACK_HEADERS = frozenset(
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
    """Return the service's name and the target that it is to see.

    Raises
    ------
    RequestRefused
        If the path names no service, or climbs out of its own.
    """
    name, _, rest = request.target[len(SERVICE_PATH_PREFIX) :].partition("/")
    path = unquote(rest.partition("?")[0])
    if not name or ".." in path.split("/") or "\\" in path:
        raise RequestRefused(Cause.UNKNOWN_ROUTE, "no such route")
    if request.method not in _METHODS:
        raise RequestRefused(Cause.MALFORMED, "method not supported")
    return name, "/" + rest


def is_idempotent(service, method, path):
    """Tell whether a call may be repeated.

    Parameters
    ----------
    service : PlainService
        What the catalogue knows of the service.
    method : str
        HTTP method.
    path : str
        Path that the service sees, without the query.
    """
    for call in service.calls:
        if call.method == method and path.startswith(call.path_prefix):
            return call.idempotent
    return method in _IDEMPOTENT_METHODS


def make_service_request(request, target):
    """Return what the service sees of a caller's request."""
    headers = tuple(
        (name, value) for name, value in request.headers if name in PASSED_ON_HEADERS
    )
    return ServiceRequest(request.method, target, headers, request.body)


def find_idempotency_key(request):
    """Return the caller's idempotency key, or an empty text.

    Raises
    ------
    RequestRefused
        If it is too long.
    """
    key = request.find_header(IDEMPOTENCY_HEADER) or ""
    if len(key) > MAXIMUM_IDEMPOTENCY_KEY_LENGTH:
        raise RequestRefused(
            Cause.MALFORMED,
            f"the idempotency key is over {MAXIMUM_IDEMPOTENCY_KEY_LENGTH} characters",
        )
    return key


class CallExchange(BudgetedExchange):
    """Reserve what the call costs, make it, write its answer.

    Parameters
    ----------
    context : EntryContext
        What all exchanges of an entry process share.
    request_id : str
        Id of the caller's request.
    principal : Principal
        Whose request it is.
    service : PlainService
        What is called.
    call : ServiceRequest
        What the service sees.
    idempotency_key : str
        The caller's; may be empty.
    responder : Responder
        Where the answer goes.
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
        """Reserve the tokens and go on from there."""
        team = self._principal.team
        if not team or not self._service.tokens_per_call:
            self._running = self._begin_run()
            return
        self._reserve(team, self._service.tokens_per_call)

    def answer(self, response):
        """Write the service's answer."""
        if self._end(None):
            headers = [("x-request-id", self._request_id)]
            headers += [
                (name, value)
                for name, value in response.headers
                if name in PASSED_BACK_HEADERS
            ]
            write_response(self._responder, response.status, headers, response.body)

    def refuse(self, refusal):
        """Write that there is no answer of the service."""
        if self._end(refusal):
            write_refusal(self._responder, refusal, self._request_id)

    def add_tokens(self, text, count):
        """Ignore what no plain service sends."""

    def finish(self, reason, total_tokens):
        """Ignore what no plain service sends."""

    def pause(self):
        """Ignore it: the answer comes whole."""

    def resume(self):
        """Ignore it: the answer comes whole."""

    def _begin_run(self):
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

    def _count_used(self):
        return self._reservation.amount

    def _describe_end(self, refusal):
        return RequestEnded(
            request=self._request_id,
            team=self._principal.team,
            target=self._service.name,
            priority=PriorityClass.INTERACTIVE,
            refusal=refusal,
            duration=self._context.clock.monotonic() - self._arrived,
        )
