"""A stand-in for an engine with an OpenAI-compatible API.

In addition it supports the headers ``X-Request-Id``, ``X-Fencing``, ``X-Priority`` and
``X-Resume-Offset``, and the paths ``/v1/requests/ID/cancel``, ``/load``, ``/health``
and ``/control``.
"""

import itertools

from .batch import Batch, EngineSettings
from .serving import (
    HttpError,
    StandInResource,
    change_settings,
    get_reactor,
    make_json_response,
    make_parser,
    read_json,
    serve,
)
from .token_stream import TokenStream

_BAD_REQUEST = 400
_NOT_FOUND = 404


class EngineResource(StandInResource):
    """HTTP resource of an engine.

    Parameters
    ----------
    reactor : IReactorTime
        Clock of token and load timers.
    model : str
        Name of the base model.
    settings : EngineSettings
        Timing and limits; the defaults if None.

    Attributes
    ----------
    batch : Batch
        Loaded adapters and running requests.
    started : int
        Number of completions accepted.
    """

    def __init__(self, reactor, model, settings=None):
        super().__init__()
        self.settings = settings or EngineSettings()
        self.batch = Batch(reactor, self.settings)
        self._model = model
        self._request_numbers = itertools.count(1)
        self.started = 0
        self.routes = {
            ("GET", "load"): self._show_load,
            ("GET", "health"): self._show_load,
            ("GET", "control"): self._show_control,
            ("POST", "control"): self._change_control,
            ("GET", "v1"): self._get_version_1,
            ("POST", "v1"): self._post_version_1,
        }

    def _get_version_1(self, request, what):
        if what != "models":
            raise HttpError(_NOT_FOUND, "no such path")
        names = [self._model, *self.batch.adapters]
        models = [{"id": name, "object": "model"} for name in names]
        return make_json_response({"object": "list", "data": models})

    def _post_version_1(self, request, what, *segments):
        if what == "completions" or (what, *segments) == ("chat", "completions"):
            return self._generate(request)
        if what == "load_lora_adapter":
            return self._load_adapter(request)
        if what == "unload_lora_adapter":
            return self._unload_adapter(request)
        if what == "requests" and segments[1:] == ("cancel",):
            return self._cancel(segments[0])
        raise HttpError(_NOT_FOUND, "no such path")

    def _generate(self, request):
        document = read_json(request)
        self.batch.check_fencing(_read_number(request, "x-fencing"))
        model = document.get("model")
        if model != self._model and model not in self.batch.adapters:
            raise HttpError(_NOT_FOUND, f"{model} is not loaded")
        stream = TokenStream(
            request,
            document,
            request.getHeader("x-request-id")
            or f"request-{next(self._request_numbers)}",
            _read_number(request, "x-priority"),
            _read_number(request, "x-resume-offset"),
            self.batch.end,
        )
        request.notifyFinish().addErrback(lambda _: self.batch.end(stream))
        self.started += 1
        stream.start()
        self.batch.add(stream)

    def _load_adapter(self, request):
        name = self._read_adapter_order(request)
        return self.batch.load(name).addCallback(lambda _: make_json_response({}))

    def _unload_adapter(self, request):
        self.batch.unload(self._read_adapter_order(request))
        return make_json_response({})

    def _read_adapter_order(self, request):
        document = read_json(request)
        name = document.get("lora_name")
        if not isinstance(name, str) or ":" not in name:
            raise HttpError(_BAD_REQUEST, "lora_name must be ADAPTER:VERSION")
        self.batch.check_fencing(_read_number(request, "x-fencing"))
        return name

    def _cancel(self, name):
        stream = self.batch.find(name)
        if stream is None:
            raise HttpError(_NOT_FOUND, "no such request")
        self.batch.end(stream)
        stream.abort()
        return make_json_response({})

    def _show_load(self, request):
        return make_json_response(
            {
                "boot": self.batch.boot,
                "running": len(self.batch.running),
                "waiting": self.batch.waiting,
                "adapters": list(self.batch.adapters),
            }
        )

    def _show_control(self, request):
        counts = {
            "boot": self.batch.boot,
            "started": self.started,
            "loads": self.batch.loads,
            "evicted_in_use": self.batch.evicted_in_use,
        }
        return make_json_response({**vars(self.settings), **counts})

    def _change_control(self, request):
        document = read_json(request)
        should_restart = document.pop("restart", False)
        change_settings(self.settings, document)
        if should_restart:
            self.batch.restart()
        elif "token_ms" in document:
            self.batch.apply_token_interval()
        return self._show_control(request)


def _read_number(request, header):
    try:
        return int(request.getHeader(header) or 0)
    except ValueError as error:
        raise HttpError(_BAD_REQUEST, f"{header} is not a number") from error


def main():
    """Run an engine until SIGTERM."""
    parser = make_parser(__doc__)
    defaults = EngineSettings()
    parser.add_argument("--model", required=True, help="name of the base model")
    parser.add_argument("--slots", type=int, default=defaults.slots)
    parser.add_argument("--batch", type=int, default=defaults.batch)
    parser.add_argument("--token-ms", type=int, default=defaults.token_ms)
    parser.add_argument("--load-ms", type=int, default=defaults.load_ms)
    parser.add_argument("--obeys-fencing", action="store_true")
    arguments = parser.parse_args()
    settings = EngineSettings(
        token_ms=arguments.token_ms,
        load_ms=arguments.load_ms,
        slots=arguments.slots,
        batch=arguments.batch,
        obeys_fencing=arguments.obeys_fencing,
    )
    resource = EngineResource(get_reactor(), arguments.model, settings)
    serve("engine", arguments.listen, resource)


if __name__ == "__main__":
    main()
