"""Which replicas have read which parts of prompts lately."""

from collections import OrderedDict
from dataclasses import dataclass

# Sessions remembered; the least recently used are forgotten first.
MOST_PARTS = 4_000


@dataclass(frozen=True, slots=True)
class _ReadPart:
    target: object
    part: str
    replica: str


class PrefixTracker:
    """Remember the parts that this process's requests left at replicas."""

    def __init__(self):
        self._parts = OrderedDict()

    def record_read(self, prompt, replica_id):
        """Take note that a replica (by id) has read a Prompt."""
        for part in prompt.parts:
            key = _ReadPart(prompt.target, part.id, replica_id)
            self._parts[key] = None
            self._parts.move_to_end(key)
        while len(self._parts) > MOST_PARTS:
            self._parts.popitem(last=False)

    def count_cached_tokens(self, prompt, replica_id):
        """Return the tokens at the prompt's beginning that a replica has read."""
        tokens = 0
        for part in prompt.parts:
            if _ReadPart(prompt.target, part.id, replica_id) not in self._parts:
                break
            tokens += part.tokens
        return tokens
