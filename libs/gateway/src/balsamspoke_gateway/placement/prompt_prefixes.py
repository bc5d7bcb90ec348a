"""Prompt prefixes that replicas have read recently."""

from collections import OrderedDict
from dataclasses import dataclass

# Entries kept, one for each prompt part and replica; the least recently used is
# evicted first.
MAX_PARTS = 4_000


@dataclass(frozen=True, slots=True)
class _ReadPart:
    target: object
    part_id: str
    replica_id: str


class PrefixTracker:
    """Track which prompt parts replicas have read for requests of this process."""

    def __init__(self):
        self._parts = OrderedDict()

    def record_read(self, prompt, replica_id):
        """Record that a replica (by id) has read a Prompt."""
        for part in prompt.parts:
            key = _ReadPart(prompt.target, part.id, replica_id)
            self._parts[key] = None
            self._parts.move_to_end(key)
        while len(self._parts) > MAX_PARTS:
            self._parts.popitem(last=False)

    def count_cached_tokens(self, prompt, replica_id):
        """Return the tokens of a Prompt's leading parts that a replica has read."""
        tokens = 0
        for part in prompt.parts:
            if _ReadPart(prompt.target, part.id, replica_id) not in self._parts:
                break
            tokens += part.tokens
        return tokens
