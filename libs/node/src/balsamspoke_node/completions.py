"""Parsing of requests in the OpenAI-compatible completions formats."""

from dataclasses import dataclass

import orjson
from balsamspoke_types.identifiers import AdapterRef
from balsamspoke_types.objects import PriorityClass
from balsamspoke_types.outcomes import Cause

from .exceptions import RequestRefused

BYTES_PER_TOKEN = 4
MAXIMUM_STOP_SEQUENCES = 4

_NUMBER_TYPES = (int, float)
_COMMON_PARAMETERS = {
    "model": str,
    "stream": bool,
    "max_tokens": int,
    "temperature": _NUMBER_TYPES,
    "top_p": _NUMBER_TYPES,
    "presence_penalty": _NUMBER_TYPES,
    "frequency_penalty": _NUMBER_TYPES,
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

# Parameters that the entry process handles itself or must not forward to the engine.
_NOT_FORWARDED = {
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
    """A validated completions request.

    Attributes
    ----------
    model_name : str
        Value of the ``model`` parameter, which ``resolve_target`` looks up.
    is_chat : bool
        Whether the request and its answer are in the chat format.
    is_streaming : bool
        Whether the answer is a stream of server-sent events.
    includes_usage : bool
        Whether a streamed answer ends with the token counts, by
        ``stream_options.include_usage``.
    max_tokens : int or None
        Maximum number of tokens to generate; None if the request sets none.
    prompt_tokens : int
        Estimate: bytes of the prompt divided by BYTES_PER_TOKEN, rounded up.
    body : bytes
        JSON object with the parameters that are forwarded to the engine.
    """

    model_name: str
    is_chat: bool
    is_streaming: bool
    includes_usage: bool
    max_tokens: int | None
    prompt_tokens: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Target:
    """The model or adapter that a completions request resolves to.

    Attributes
    ----------
    model : Model
        Base model that generates.
    adapter : AdapterRef or None
        Adapter and version to apply; None for the base model alone.
    owner : str
        The team that owns the adapter; empty for the base model.
    priority : PriorityClass
        Priority class of the request.
    open_to_all : bool
        Whether requests of any team, and without a key, may use the adapter.
    """

    model: object
    adapter: AdapterRef | None
    owner: str = ""
    priority: PriorityClass = PriorityClass.STANDARD
    open_to_all: bool = False


def parse_completion(body, is_chat):
    """Parse and validate the body of a completions request.

    Parameters
    ----------
    body : bytes
        JSON object, as the caller sent it.
    is_chat : bool
        Whether the body is in the chat format.

    Returns
    -------
    CompletionRequest

    Raises
    ------
    RequestRefused
        If the body is not a JSON object, or a parameter is unsupported or invalid;
        the message names it.
    """
    try:
        fields = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise RequestRefused(Cause.MALFORMED, f"the body is not JSON: {error}")
    if not isinstance(fields, dict):
        raise RequestRefused(Cause.MALFORMED, "the body must be a JSON object")
    _check_types(fields, _CHAT_PARAMETERS if is_chat else _COMPLETION_PARAMETERS)
    _check_values(fields)
    prompt_bytes = (
        _count_message_bytes(fields) if is_chat else _count_prompt_bytes(fields)
    )
    forwarded = {name: fields[name] for name in fields if name not in _NOT_FORWARDED}
    options = fields.get("stream_options") or {}
    return CompletionRequest(
        model_name=fields["model"],
        is_chat=is_chat,
        is_streaming=fields.get("stream") or False,
        includes_usage=options.get("include_usage") is True,
        max_tokens=fields.get("max_completion_tokens") or fields.get("max_tokens"),
        prompt_tokens=-(-prompt_bytes // BYTES_PER_TOKEN),
        body=orjson.dumps(forwarded),
    )


def _check_types(fields, parameters):
    unknown = sorted(set(fields) - set(parameters))
    if unknown:
        names = ", ".join(name[:40] for name in unknown[:5])
        raise RequestRefused(Cause.UNSUPPORTED, f"parameters not supported: {names}")
    for name, value in fields.items():
        expected = parameters[name]
        is_misplaced_boolean = isinstance(value, bool) and expected is not bool
        if value is None and name != "model":
            continue
        if not isinstance(value, expected) or is_misplaced_boolean:
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
        has_wrong_type = any(not isinstance(text, str) for text in stop)
        if has_wrong_type or len(stop) > MAXIMUM_STOP_SEQUENCES:
            raise RequestRefused(
                Cause.MALFORMED,
                f"stop must be at most {MAXIMUM_STOP_SEQUENCES} texts",
            )


def _count_prompt_bytes(fields):
    prompt = fields.get("prompt")
    if prompt is None:
        raise RequestRefused(Cause.MALFORMED, "prompt is missing")
    return len(prompt.encode(errors="replace"))


def _count_message_bytes(fields):
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


def resolve_target(name, catalogue):
    """Return the model or adapter version that a model name stands for.

    Parameters
    ----------
    name : str
        ``adapter``, ``adapter:version`` or a base model's name.
    catalogue : CatalogueView
        Catalogue to look the name up in.

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
        raise _make_unknown_model_error(name)
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
        raise _make_unknown_model_error(name)
    return version


def _make_unknown_model_error(name):
    return RequestRefused(Cause.UNKNOWN_MODEL, f"no model or version {name[:80]!r}")
