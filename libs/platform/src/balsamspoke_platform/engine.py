"""HTTP client of an engine with an OpenAI-compatible API."""

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
_FENCING_HEADER = "X-Fencing"


class HttpEngine(Engine):
    """Client of the engine that this side process runs beside.

    Parameters
    ----------
    client : HttpClient
        Sends requests to the engine.
    model : str
        Name of the base model at the engine.
    load_timeout : timedelta
        Time limit for loading or unloading an adapter.
    """

    def __init__(self, client, model, load_timeout=LOAD_TIMEOUT):
        self._client = client
        self._model = model
        self._load_timeout = load_timeout

    def generate(self, order, sink):
        """Start a generation.

        Parameters
        ----------
        order : GenerationOrder
            Describes the generation.
        sink : GenerationSink
            Receives the generated tokens.

        Returns
        -------
        HttpGeneration
        """
        document = orjson.loads(order.body)
        document["model"] = str(order.adapter or self._model)
        document["stream"] = True
        document["max_tokens"] = order.max_tokens
        if order.resume_offset:
            document["resume_text"] = order.resume_text
        generation = HttpGeneration(self._client, order, sink)
        generation.start(document)
        return generation

    def load_adapter(self, adapter, fencing):
        """Load an adapter.

        Parameters
        ----------
        adapter : AdapterRef
            The adapter and its version.
        fencing : int
            Fencing token of the process that sends the order.

        Returns
        -------
        Deferred of None
            Fails with BackendError.
        """
        return self._send_order("/v1/load_lora_adapter", adapter, fencing)

    def unload_adapter(self, adapter, fencing):
        """Unload an adapter; parameters and result as in ``load_adapter``."""
        return self._send_order("/v1/unload_lora_adapter", adapter, fencing)

    @inlineCallbacks
    def report(self):
        """Request the engine's load report.

        Returns
        -------
        Deferred of EngineReport
            Fails with BackendError.
        """
        reply = yield self._request("GET", "/load", REPORT_TIMEOUT)
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
            raise BackendLost(f"malformed load report: {error!r}") from error

    @inlineCallbacks
    def _send_order(self, path, adapter, fencing):
        headers = (_JSON, (_FENCING_HEADER, str(fencing)))
        body = orjson.dumps({"lora_name": str(adapter)})
        yield self._request("POST", path, self._load_timeout, headers, body)

    @inlineCallbacks
    def _request(self, *arguments):
        try:
            reply = yield self._client.call(*arguments)
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
