"""Speed at which a replica reads prompts, measured while prompts are read."""

import statistics
from collections import OrderedDict, deque
from dataclasses import dataclass
from datetime import timedelta

from .exceptions import NO_DELAY
from .loads import INITIAL_SECONDS_PER_TOKEN

# An engine may read several prompts in one step, so that their first events arrive
# within this time. They belong to the same sample.
SAME_STEP_TIME = timedelta(milliseconds=2)
# A sample has at least this many tokens; a smaller one shows the engine's step for its
# streams rather than its reading.
SAMPLE_TOKENS = 2_000
# Samples kept, and the fewest from which the speed is estimated.
MAX_SAMPLES = 40
MIN_SAMPLES = 4
# Prompts without a first event are dropped after this time.
MAX_READING_TIME = timedelta(seconds=10)


@dataclass(frozen=True, slots=True)
class _UnreadPrompt:
    tokens: int
    sent_at: timedelta


class ReadingSpeed:
    """Measure how fast a replica reads prompts.

    A prompt's reading time is the time from the later of its sending and the end of the
    previous prompt until its first event. The lower quartile of the samples counts:
    those above it include prompts that this process does not know of, or pauses of the
    replica.
    """

    def __init__(self):
        self._unread = OrderedDict()
        self._last_read_at = NO_DELAY
        self._tokens = 0
        self._time = NO_DELAY
        self._samples = deque(maxlen=MAX_SAMPLES)

    @property
    def seconds_per_token(self):
        """Estimated time to read a prompt token."""
        if len(self._samples) < MIN_SAMPLES:
            return INITIAL_SECONDS_PER_TOKEN
        return statistics.quantiles(self._samples, n=4)[0]

    def record_sent(self, key, tokens, now):
        """Record that a prompt is sent to the replica at a monotonic time."""
        self._unread[key] = _UnreadPrompt(tokens, now)
        oldest = next(iter(self._unread.values()))
        if now - oldest.sent_at > MAX_READING_TIME:
            self._unread.popitem(last=False)

    def record_read(self, key, now):
        """Record the first event of a prompt at a monotonic time."""
        prompt = self._unread.pop(key, None)
        if prompt is None:
            return
        duration = now - max(prompt.sent_at, self._last_read_at)
        self._last_read_at = now
        if duration > SAME_STEP_TIME and self._tokens >= SAMPLE_TOKENS:
            self._samples.append(self._time.total_seconds() / self._tokens)
            self._tokens, self._time = 0, NO_DELAY
        self._tokens += prompt.tokens
        self._time += duration
