"""An engine over HTTP, in the OpenAI-compatible format."""

from datetime import timedelta

import orjson
from balsamspoke_types.exceptions import (
    BackendLost,
    BackendRefused,
    BackendUnreachable,
)
from balsamspoke_types.identifiers import AdapterRef
from balsamspoke_types.ports import Engine, EngineReport
from twisted.internet.defer import inlineCallbacks

from .exceptions import HttpFailure, NotSent
from .generation import HttpGeneration

LOAD_TIMEOUT = timedelta(seconds=60)
REPORT_TIMEOUT = timedelta(seconds=2)
_OK = 200
_JSON = ("Content-Type", "application/json")
_FENCING = "X-Fencing"


class HttpEngine(Engine):
    """Give orders to the engine beside this process.

    Parameters
    ----------
    caller : HttpCaller
        Calls the engine.
    model : str
        The engine's name of its base model.
    load_timeout : timedelta
        Longest wait for an adapter to be loaded or unloaded.
    """

    def __init__(self, caller, model, load_timeout=LOAD_TIMEOUT):
        self._caller = caller
        self._model = model
        self._load_timeout = load_timeout

    def generate(self, order, sink):
        """Give a GenerationOrder; return a Generation."""
        document = orjson.loads(order.body)
        document["model"] = str(order.adapter or self._model)
        document["stream"] = True
        document["max_tokens"] = order.max_tokens
        if order.resume_offset:
            document["resume_text"] = order.resume_text
        generation = HttpGeneration(self._caller, order, sink)
        generation.start(document)
        return generation

    def load_adapter(self, adapter, fencing):
        """Load an AdapterRef; return a Deferred of None, fails with BackendError."""
        return self._order("/v1/load_lora_adapter", adapter, fencing)

    def unload_adapter(self, adapter, fencing):
        """Unload an AdapterRef; return a Deferred of None, fails with BackendError."""
        return self._order("/v1/unload_lora_adapter", adapter, fencing)

    @inlineCallbacks
    def report(self):
        """Return a Deferred of an EngineReport; fails with BackendError."""
        reply = yield self._ask("GET", "/load", REPORT_TIMEOUT)
        try:
            document = orjson.loads(reply.body)
            adapters = tuple(_parse_adapter(name) for name in document["adapters"])
            return EngineReport(
                str(document["boot"]),
                document["running"],
                document["waiting"],
                adapters,
            )
        except (ValueError, KeyError, TypeError) as error:
            raise BackendLost(f"not a load report: {error!r}") from error

    @inlineCallbacks
    def _order(self, path, adapter, fencing):
        headers = (_JSON, (_FENCING, str(fencing)))
        body = orjson.dumps({"lora_name": str(adapter)})
        yield self._ask("POST", path, self._load_timeout, headers, body)

    @inlineCallbacks
    def _ask(self, *arguments):
        try:
            reply = yield self._caller.call(*arguments)
        except NotSent as error:
            raise BackendUnreachable(str(error)) from error
        except HttpFailure as error:
            raise BackendLost(str(error)) from error
        if reply.status != _OK:
            text = reply.body[:200].decode(errors="replace")
            raise BackendRefused(f"the engine answered: {text}", reply.status)
        return reply


def _parse_adapter(name):
    adapter, _, version = name.rpartition(":")
    return AdapterRef(adapter, int(version))
