"""Admission, authorization and dispatch of callers' requests."""

from datetime import timedelta

import orjson
from balsamspoke_types.objects import Kind
from balsamspoke_types.outcomes import Cause

from .answers import StreamedAnswerWriter, WholeAnswerWriter
from .authorization import authenticate, authorize_team
from .calls import (
    SERVICE_PATH_PREFIX,
    CallExchange,
    find_idempotency_key,
    make_service_request,
    split_service_path,
)
from .completions import parse_completion, resolve_target
from .exceptions import RequestRefused
from .generation import GenerationExchange
from .responses import JSON_HEADER, write_refusal, write_response

COMPLETIONS_PATH = "/v1/completions"
CHAT_PATH = "/v1/chat/completions"
MODELS_PATH = "/v1/models"

CATALOGUE_RETRY_AFTER = timedelta(seconds=2)
STOPPING_RETRY_AFTER = timedelta(seconds=1)
_OK_STATUS = 200


class RequestHandler:
    """Admit callers' requests and start their exchanges.

    Parameters
    ----------
    context : EntryContext
        State shared by all exchanges of the entry process.
    """

    def __init__(self, context):
        self._context = context
        self._is_refusing = False

    def refuse_new_requests(self):
        """Refuse all requests from now on, in a planned stop."""
        self._is_refusing = True

    def handle(self, request, responder):
        """Start an Exchange for a CallerRequest.

        Returns
        -------
        Exchange or None
            None if the request was answered or refused immediately.
        """
        request_id = self._context.make_request_id()
        try:
            self._check_admission(request)
            return self._route(request, responder, request_id)
        except RequestRefused as error:
            write_refusal(responder, error.refusal, request_id)
            return None

    def _check_admission(self, request):
        if self._is_refusing:
            raise RequestRefused(
                Cause.STOPPING, "this process is stopping", STOPPING_RETRY_AFTER
            )
        if not self._context.catalogue.is_complete:
            raise RequestRefused(
                Cause.CATALOGUE_UNAVAILABLE,
                "this process has no catalogue yet",
                CATALOGUE_RETRY_AFTER,
            )
        if len(request.body) > self._context.settings.maximum_body_bytes:
            raise RequestRefused(Cause.TOO_LARGE, "the body is too large")

    def _route(self, request, responder, request_id):
        principal = authenticate(request, self._context.catalogue)
        path = request.path
        if path in (COMPLETIONS_PATH, CHAT_PATH):
            _require_method(request, "POST")
            return self._start_generation(request, responder, request_id, principal)
        if path == MODELS_PATH:
            _require_method(request, "GET")
            return self._list_models(responder, request_id, principal)
        if path.startswith(SERVICE_PATH_PREFIX):
            return self._start_call(request, responder, request_id, principal)
        raise RequestRefused(Cause.UNKNOWN_ROUTE, "no such route")

    def _start_generation(self, request, responder, request_id, principal):
        completion = parse_completion(request.body, request.path == CHAT_PATH)
        target = resolve_target(completion.model_name, self._context.catalogue)
        _authorize_target(principal, target, completion.model_name)
        is_streaming = completion.is_streaming
        writer_class = StreamedAnswerWriter if is_streaming else WholeAnswerWriter
        created = int(self._context.clock.now().timestamp())
        writer = writer_class(responder, request_id, completion, created)
        exchange = GenerationExchange(
            self._context, request_id, principal, target, completion, writer
        )
        self._context.begin_exchange(exchange)
        return exchange

    def _start_call(self, request, responder, request_id, principal):
        name, target = split_service_path(request)
        service = self._context.catalogue.service(name)
        if service is None:
            raise RequestRefused(Cause.UNKNOWN_ROUTE, "no such route")
        authorize_team(principal, service.teams, service.open_to_all, "this service")
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
        write_response(responder, _OK_STATUS, headers, body)


def _require_method(request, method):
    if request.method != method:
        raise RequestRefused(Cause.UNKNOWN_ROUTE, f"this route takes {method} only")


def _authorize_target(principal, target, name):
    """Allow base models to all teams, and adapters to their owner or to all."""
    if target.adapter is None:
        if not principal.has_key:
            raise RequestRefused(Cause.KEY_MISSING, "base models need a key")
        return
    if principal.has_key and principal.team != target.owner and not target.open_to_all:
        # The same answer as for an unknown name, so that callers cannot find out
        # which adapters other teams have.
        raise RequestRefused(Cause.UNKNOWN_MODEL, f"no model or version {name[:80]!r}")
    authorize_team(principal, (target.owner,), target.open_to_all, "this adapter")
