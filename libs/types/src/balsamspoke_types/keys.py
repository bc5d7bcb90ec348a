"""The format of the keys that callers present."""

import re

KEY_PREFIX = "bsk_"
KEY_RANDOM_BYTES = 32

# Wide enough to find a key that was cut off or glued to other text.
KEY_PATTERN = re.compile(r"bsk_[A-Za-z0-9_-]{16,}")
KEY_PATTERN_BYTES = re.compile(KEY_PATTERN.pattern.encode())


def format_key(random_text):
    """Return the key for a random URL-safe text of ``KEY_RANDOM_BYTES`` bytes."""
    return KEY_PREFIX + random_text


def hide_keys(text):
    """Return a text with every key in it replaced."""
    return KEY_PATTERN.sub("[key]", text)
