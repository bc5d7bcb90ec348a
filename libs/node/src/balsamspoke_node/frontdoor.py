"""Admission of callers' requests and their way to what answers them."""

from datetime import timedelta

import orjson
from balsamspoke_types.objects import Kind
from balsamspoke_types.outcomes import Cause

from .answers import StreamedAnswerWriter, WholeAnswerWriter
from .authorization import identify, require_team
from .calls import (
    SERVICE_PATH_PREFIX,
    CallExchange,
    find_idempotency_key,
    make_service_request,
    split_service_path,
)
from .completions import find_target, parse_completion
from .exceptions import RequestRefused
from .generation import GenerationExchange
from .responses import JSON_HEADER, write_refusal, write_whole

COMPLETIONS_PATH = "/v1/completions"
CHAT_PATH = "/v1/chat/completions"
MODELS_PATH = "/v1/models"

START_RETRY = timedelta(seconds=2)
STOP_RETRY = timedelta(seconds=1)
_OK = 200


class RequestHandler:
    """Check callers' requests and start their exchanges.

    Parameters
    ----------
    context : EntryContext
        What the exchanges share.
    """

    def __init__(self, context):
        self._context = context
        self._refusing = False

    def refuse_new_requests(self):
        """Refuse every further request, for a planned stop."""
        self._refusing = True

    def handle(self, request, responder):
        """Answer a CallerRequest; return its Exchange or None."""
        request_id = self._context.make_request_id()
        try:
            self._check_state(request)
            return self._route(request, responder, request_id)
        except RequestRefused as error:
            write_refusal(responder, error.refusal, request_id)
            return None

    def _check_state(self, request):
        if self._refusing:
            raise RequestRefused(Cause.STOPPING, "this process is stopping", STOP_RETRY)
        if not self._context.catalogue.is_complete:
            raise RequestRefused(
                Cause.CATALOGUE_UNAVAILABLE,
                "this process has no catalogue yet",
                START_RETRY,
            )
        if len(request.body) > self._context.settings.maximum_body_bytes:
            raise RequestRefused(Cause.TOO_LARGE, "the body is too large")

    def _route(self, request, responder, request_id):
        principal = identify(request, self._context.catalogue)
        path = request.path
        if path in (COMPLETIONS_PATH, CHAT_PATH):
            _require_method(request, "POST")
            return self._generate(request, responder, request_id, principal)
        if path == MODELS_PATH:
            _require_method(request, "GET")
            return self._list_models(responder, request_id, principal)
        if path.startswith(SERVICE_PATH_PREFIX):
            return self._call(request, responder, request_id, principal)
        raise RequestRefused(Cause.UNKNOWN_ROUTE, "no such route")

    def _generate(self, request, responder, request_id, principal):
        completion = parse_completion(request.body, request.path == CHAT_PATH)
        target = find_target(completion.model_name, self._context.catalogue)
        _require_target(principal, target, completion.model_name)
        is_streaming = completion.is_streaming
        writer_class = StreamedAnswerWriter if is_streaming else WholeAnswerWriter
        created = int(self._context.clock.now().timestamp())
        writer = writer_class(responder, request_id, completion, created)
        exchange = GenerationExchange(
            self._context, request_id, principal, target, completion, writer
        )
        self._context.begin_exchange(exchange)
        return exchange

    def _call(self, request, responder, request_id, principal):
        name, target = split_service_path(request)
        service = self._context.catalogue.service(name)
        if service is None:
            raise RequestRefused(Cause.UNKNOWN_ROUTE, "no such route")
        require_team(principal, service.teams, service.open_to_all, "this service")
        exchange = CallExchange(
            self._context,
            request_id,
            principal,
            service,
            make_service_request(request, target),
            find_idempotency_key(request),
            responder,
        )
        self._context.begin_exchange(exchange)
        return exchange

    def _list_models(self, responder, request_id, principal):
        if not principal.has_key:
            raise RequestRefused(Cause.KEY_MISSING, "the model list needs a key")
        catalogue = self._context.catalogue
        names = [*catalogue.names(Kind.MODEL), *catalogue.list_adapters(principal.team)]
        listed = [{"id": name, "object": "model"} for name in names]
        body = orjson.dumps({"object": "list", "data": listed})
        headers = (JSON_HEADER, ("x-request-id", request_id))
        write_whole(responder, _OK, headers, body)


def _require_method(request, method):
    if request.method != method:
        raise RequestRefused(Cause.UNKNOWN_ROUTE, f"this route takes {method} only")


def _require_target(principal, target, name):
    """Let a team use its own adapters and the base models."""
    if target.adapter is None:
        if not principal.has_key:
            raise RequestRefused(Cause.KEY_MISSING, "base models need a key")
        return
    if principal.has_key and principal.team != target.owner and not target.open_to_all:
        # Another team's adapter looks like one that isn't there.
        raise RequestRefused(Cause.UNKNOWN_MODEL, f"no model or version {name[:80]!r}")
    require_team(principal, (target.owner,), target.open_to_all, "this adapter")
