"""Deterministic tokens of the engine stand-in, equal on all replicas."""

import re
from zlib import crc32

import orjson

DEFAULT_MAX_TOKENS = 16
_STOP_PATTERN = re.compile(r"stop after (\d+)")


def get_prompt(document):
    """Return the prompt or messages of a completions request as text."""
    if "messages" in document:
        return orjson.dumps(document["messages"]).decode()
    prompt = document.get("prompt", "")
    return prompt if isinstance(prompt, str) else orjson.dumps(prompt).decode()


def make_token_prefix(model, prompt):
    """Return the text that all tokens of a response start with.

    Parameters
    ----------
    model : str
        ``adapter:version``, or the base model's name.
    prompt : str
        Result of ``get_prompt``.
    """
    return f"{model}/{crc32(prompt.encode()):08x}/"


def make_text(model, document, start, end):
    """Return the text of tokens ``start`` to ``end`` - 1 of a response."""
    prefix = make_token_prefix(model, get_prompt(document))
    return "".join(f"{prefix}{number} " for number in range(start, end))


def get_token_count(document):
    """Return the number of tokens of a complete response, and its finish reason.

    A response ends after ``max_tokens``, or after N tokens if that is fewer and the
    prompt contains ``stop after N``.
    """
    limit = int(document.get("max_tokens") or DEFAULT_MAX_TOKENS)
    stop_match = _STOP_PATTERN.search(get_prompt(document))
    if stop_match and int(stop_match[1]) < limit:
        return int(stop_match[1]), "stop"
    return limit, "length"
