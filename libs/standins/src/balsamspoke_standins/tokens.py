"""The tokens of the engine stand-in, the same on every replica."""

import re
from zlib import crc32

import orjson

DEFAULT_MAX_TOKENS = 16
_STOP_AFTER = re.compile(r"stop after (\d+)")


def get_prompt(document):
    """Return the prompt of a completions or chat-completions request as text."""
    if "messages" in document:
        return orjson.dumps(document["messages"]).decode()
    prompt = document.get("prompt", "")
    return prompt if isinstance(prompt, str) else orjson.dumps(prompt).decode()


def make_token_prefix(model, prompt):
    """Return the part of a token's text that is the same for a whole answer.

    Parameters
    ----------
    model : str
        ``adapter:version``, or the base model's name.
    prompt : str
        From ``get_prompt``.
    """
    return f"{model}/{crc32(prompt.encode()):08x}/"


def make_text(model, document, start, end):
    """Return the text of the tokens from ``start`` up to ``end`` of an answer."""
    prefix = make_token_prefix(model, get_prompt(document))
    return "".join(f"{prefix}{number} " for number in range(start, end))


def get_length(document):
    """Return the number of tokens of a whole answer, and its finish reason.

    An answer ends at ``max_tokens``, or earlier if its prompt says ``stop after N``.
    """
    limit = int(document.get("max_tokens") or DEFAULT_MAX_TOKENS)
    wished = _STOP_AFTER.search(get_prompt(document))
    if wished and int(wished[1]) < limit:
        return int(wished[1]), "stop"
    return limit, "length"
