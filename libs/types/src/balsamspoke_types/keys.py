"""Format of the API keys that callers present."""

import re

KEY_PREFIX = "bsk_"
KEY_RANDOM_BYTES = 32

# Also matches a truncated key and a key that is joined to other text.
KEY_PATTERN = re.compile(r"bsk_[A-Za-z0-9_-]{16,}")
KEY_PATTERN_BYTES = re.compile(KEY_PATTERN.pattern.encode())


def format_key(random_text):
    """Return the key for the URL-safe text of ``KEY_RANDOM_BYTES`` random bytes."""
    return KEY_PREFIX + random_text


def redact_keys(text):
    """Return the text with each key replaced by ``[key]``."""
    return KEY_PATTERN.sub("[key]", text)
