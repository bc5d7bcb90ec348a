"""Which replicas have read which parts of prompts lately."""

from collections import OrderedDict
from dataclasses import dataclass

# Sessions remembered; the least recently used are forgotten first.
MAX_ENTRIES = 4_000


@dataclass(frozen=True, slots=True)
class _ReadPrefix:
    target: object
    part_id: str
    replica_id: str


class PrefixTracker:
    """Remember the parts that this process's requests left at replicas."""

    def __init__(self):
        self._prefixes = OrderedDict()

    def record_read(self, prompt, replica_id):
        """Take note that a replica (by id) has read a Prompt."""
        for part in prompt.parts:
            key = _ReadPrefix(prompt.target, part.id, replica_id)
            self._prefixes[key] = None
            self._prefixes.move_to_end(key)
        while len(self._prefixes) > MAX_ENTRIES:
            self._prefixes.popitem(last=False)

    def count_cached_tokens(self, prompt, replica_id):
        """Return the tokens at the prompt's beginning that a replica has read."""
        tokens = 0
        for part in prompt.parts:
            if _ReadPrefix(prompt.target, part.id, replica_id) not in self._prefixes:
                break
            tokens += part.tokens
        return tokens
