"""One call of a plain service, from its admission to its answer."""

from urllib.parse import unquote

from balsamspoke_limits import BudgetRefused
from balsamspoke_routing import AnswerSink, CallRequest
from balsamspoke_types.objects import PriorityClass
from balsamspoke_types.outcomes import Cause, Ran, Refusal
from balsamspoke_types.ports import ServiceRequest

from .callers import Exchange
from .events import RequestEnded
from .exceptions import RequestRefused
from .generation import make_budget_refusal
from .responses import write_refusal, write_whole

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


class CallExchange(Exchange, AnswerSink):
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
        self._context = context
        self._request_id = request_id
        self._principal = principal
        self._service = service
        self._call = call
        self._idempotency_key = idempotency_key
        self._responder = responder
        self._arrived = context.clock.monotonic()
        self._reservation = None
        self._running = None
        self._ended = False

    def start(self):
        """Reserve the tokens and go on from there."""
        team = self._principal.team
        if not team or not self._service.tokens_per_call:
            self._run(None)
            return
        reserved = self._context.budgets.reserve(team, self._service.tokens_per_call)
        reserved.addCallbacks(self._run, self._refuse_for_budget)
        reserved.addErrback(self._context.report_failure, self.refuse)

    def answer(self, response):
        """Write the service's answer."""
        if self._end(None):
            headers = [("x-request-id", self._request_id)]
            headers += [
                (name, value)
                for name, value in response.headers
                if name in PASSED_BACK_HEADERS
            ]
            write_whole(self._responder, response.status, headers, response.body)

    def refuse(self, refusal):
        """Write that there is no answer of the service."""
        if self._end(refusal):
            write_refusal(self._responder, refusal, self._request_id)

    def add_tokens(self, text, count):
        """Ignore what no plain service sends."""

    def finish(self, reason, total_tokens):
        """Ignore what no plain service sends."""

    def cancel(self):
        """Note that the caller is gone; a call under way goes on."""
        gone = Refusal(Cause.CANCELLED, Ran.UNKNOWN, "the caller went away")
        if self._end(gone) and self._running is not None:
            self._running.cancel()

    def pause(self):
        """Ignore it: the answer comes whole."""

    def resume(self):
        """Ignore it: the answer comes whole."""

    def _run(self, reservation):
        if self._ended:
            if reservation is not None:
                reservation.settle(0)
            return
        self._reservation = reservation
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
        self._running = self._context.runner.run_call(request, self)

    def _refuse_for_budget(self, failure):
        failure.trap(BudgetRefused)
        self.refuse(make_budget_refusal(failure.value))

    def _end(self, refusal):
        if self._ended:
            return False
        self._ended = True
        if self._reservation is not None:
            not_run = refusal is not None and refusal.ran is Ran.NOT_RUN
            self._reservation.settle(0 if not_run else self._reservation.amount)
        self._context.end_exchange(self, self._describe_end(refusal))
        return True

    def _describe_end(self, refusal):
        return RequestEnded(
            request=self._request_id,
            team=self._principal.team,
            target=self._service.name,
            priority=PriorityClass.INTERACTIVE,
            refusal=refusal,
            duration=self._context.clock.monotonic() - self._arrived,
        )
