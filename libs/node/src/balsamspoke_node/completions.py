"""Requests in the OpenAI-compatible completions formats."""

from dataclasses import dataclass

import orjson
from balsamspoke_types.identifiers import AdapterRef
from balsamspoke_types.objects import PriorityClass
from balsamspoke_types.outcomes import Cause

from .exceptions import RequestRefused

BYTES_PER_TOKEN = 4
MAXIMUM_STOP_SEQUENCES = 4

_NUMBER = (int, float)
_COMMON_PARAMETERS = {
    "model": str,
    "stream": bool,
    "max_tokens": int,
    "temperature": _NUMBER,
    "top_p": _NUMBER,
    "presence_penalty": _NUMBER,
    "frequency_penalty": _NUMBER,
    "seed": int,
    "stop": (str, list),
    "n": int,
    "user": str,
    "stream_options": dict,
}
_COMPLETION_PARAMETERS = {**_COMMON_PARAMETERS, "prompt": str}
_CHAT_PARAMETERS = {
    **_COMMON_PARAMETERS,
    "messages": list,
    "max_completion_tokens": int,
}

# What the entry process itself decides or must not pass on.
_KEPT_BACK = {
    "model",
    "stream",
    "stream_options",
    "max_tokens",
    "max_completion_tokens",
    "n",
    "user",
}


@dataclass(frozen=True, slots=True)
class CompletionRequest:
    """A checked request to generate.

    Attributes
    ----------
    model_name : str
        What the caller asked for.
    is_chat : bool
        Whether it came in the chat format.
    is_streaming : bool
        Whether the answer goes out token by token.
    wants_usage : bool
        Whether a streamed answer ends with the token counts.
    max_tokens : int or None
        Most tokens to generate; None if the caller didn't say.
    prompt_tokens : int
        Estimate from the length of the prompt.
    body : bytes
        JSON object for the engine.
    """

    model_name: str
    is_chat: bool
    is_streaming: bool
    wants_usage: bool
    max_tokens: int | None
    prompt_tokens: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Target:
    """What a request runs on.

    Attributes
    ----------
    model : Model
        Base model.
    adapter : AdapterRef or None
        Adapter and version; None for the base model.
    owner : str
        The team that owns the adapter; empty for the base model.
    priority : PriorityClass
        Class of the request.
    open_to_all : bool
        Whether requests without a key may use it.
    """

    model: object
    adapter: AdapterRef | None
    owner: str = ""
    priority: PriorityClass = PriorityClass.STANDARD
    open_to_all: bool = False


def parse_completion(body, is_chat):
    """Check the body of a completions request.

    Returns
    -------
    CompletionRequest

    Raises
    ------
    RequestRefused
        Naming the parameter that is wrong.
    """
    try:
        fields = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise RequestRefused(Cause.MALFORMED, f"the body is not JSON: {error}")
    if not isinstance(fields, dict):
        raise RequestRefused(Cause.MALFORMED, "the body must be a JSON object")
    _check_types(fields, _CHAT_PARAMETERS if is_chat else _COMPLETION_PARAMETERS)
    _check_values(fields)
    prompt_bytes = _measure_messages(fields) if is_chat else _measure_prompt(fields)
    passed_on = {name: fields[name] for name in fields if name not in _KEPT_BACK}
    options = fields.get("stream_options") or {}
    return CompletionRequest(
        model_name=fields["model"],
        is_chat=is_chat,
        is_streaming=fields.get("stream") or False,
        wants_usage=options.get("include_usage") is True,
        max_tokens=fields.get("max_completion_tokens") or fields.get("max_tokens"),
        prompt_tokens=-(-prompt_bytes // BYTES_PER_TOKEN),
        body=orjson.dumps(passed_on),
    )


def _check_types(fields, parameters):
    unknown = sorted(set(fields) - set(parameters))
    if unknown:
        names = ", ".join(name[:40] for name in unknown[:5])
        raise RequestRefused(Cause.UNSUPPORTED, f"parameters not supported: {names}")
    for name, value in fields.items():
        expected = parameters[name]
        is_wrong_number = isinstance(value, bool) and expected is not bool
        if value is None and name != "model":
            continue
        if not isinstance(value, expected) or is_wrong_number:
            raise RequestRefused(Cause.MALFORMED, f"{name} has the wrong type")
    if not fields.get("model"):
        raise RequestRefused(Cause.MALFORMED, "model is missing")


def _check_values(fields):
    if fields.get("n") not in (None, 1):
        raise RequestRefused(Cause.UNSUPPORTED, "n must be 1")
    for name in ("max_tokens", "max_completion_tokens"):
        count = fields.get(name)
        if count is not None and count < 1:
            raise RequestRefused(Cause.MALFORMED, f"{name} must be at least 1")
    stop = fields.get("stop")
    if isinstance(stop, list):
        is_bad = any(not isinstance(text, str) for text in stop)
        if is_bad or len(stop) > MAXIMUM_STOP_SEQUENCES:
            raise RequestRefused(
                Cause.MALFORMED,
                f"stop must be at most {MAXIMUM_STOP_SEQUENCES} texts",
            )


def _measure_prompt(fields):
    prompt = fields.get("prompt")
    if prompt is None:
        raise RequestRefused(Cause.MALFORMED, "prompt is missing")
    return len(prompt.encode(errors="replace"))


def _measure_messages(fields):
    messages = fields.get("messages")
    if not messages:
        raise RequestRefused(Cause.MALFORMED, "messages is missing or empty")
    total = 0
    for message in messages:
        if not isinstance(message, dict) or not isinstance(message.get("role"), str):
            raise RequestRefused(Cause.MALFORMED, "each message needs a role")
        content = message.get("content")
        if not isinstance(content, str):
            raise RequestRefused(Cause.MALFORMED, "each message needs a text content")
        total += len(content.encode(errors="replace"))
    return total


def find_target(name, catalogue):
    """Find what a caller means by a model name.

    Parameters
    ----------
    name : str
        ``adapter``, ``adapter:version`` or a base model's name.
    catalogue : CatalogueView
        What is in force.

    Returns
    -------
    Target

    Raises
    ------
    RequestRefused
        If there is no such model, adapter or version.
    """
    model = catalogue.model(name)
    if model is not None:
        return Target(model, None, open_to_all=False)
    adapter_name, separator, version_text = name.rpartition(":")
    if not separator:
        adapter_name, version_text = name, ""
    adapter = catalogue.adapter(adapter_name)
    model = catalogue.model(adapter.model) if adapter is not None else None
    if model is None:
        raise _refuse_unknown(name)
    version = _choose_version(adapter, version_text, name)
    return Target(
        model,
        AdapterRef(adapter.name, version),
        adapter.team,
        adapter.priority,
        adapter.open_to_all,
    )


def _choose_version(adapter, version_text, name):
    if not version_text:
        return adapter.default_version
    is_number = version_text.isascii() and version_text.isdigit()
    version = int(version_text[:9]) if is_number else None
    if version not in adapter.versions:
        raise _refuse_unknown(name)
    return version


def _refuse_unknown(name):
    return RequestRefused(Cause.UNKNOWN_MODEL, f"no model or version {name[:80]!r}")
