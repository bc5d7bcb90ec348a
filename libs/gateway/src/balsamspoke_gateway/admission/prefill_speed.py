"""Speed at which a replica prefills prompts, measured on the prompts it is sent."""

import statistics
from collections import OrderedDict, deque
from dataclasses import dataclass
from datetime import timedelta

from ..exceptions import NO_DELAY
from ..fleet.loads import INITIAL_SECONDS_PER_TOKEN

# An engine may finish several prompts in one step; their first events then arrive
# within this time, and the prompts belong to the same sample.
SAME_STEP_TIME = timedelta(milliseconds=2)
# A sample has at least this many tokens. The duration of a smaller one consists mostly
# of the engine's step for its running streams.
SAMPLE_TOKENS = 2_000
# Samples kept, and the fewest from which the speed is estimated.
MAX_SAMPLES = 40
MIN_SAMPLES = 4
# Prompts without a first event are dropped after this time.
MAX_PREFILL_TIME = timedelta(seconds=10)


@dataclass(frozen=True, slots=True)
class _SentPrompt:
    tokens: int
    sent_at: timedelta


class PrefillSpeed:
    """Measure how fast a replica prefills prompts.

    The prefill of a prompt lasts from the later of its sending and the end of the
    previous prefill until its first event. The lower quartile of the samples counts:
    those above it include prompts that this process does not know of, or times in which
    the replica stood still.
    """

    def __init__(self):
        self._sent = OrderedDict()
        self._last_ended_at = NO_DELAY
        self._tokens = 0
        self._duration = NO_DELAY
        self._samples = deque(maxlen=MAX_SAMPLES)

    @property
    def seconds_per_token(self):
        """Estimated time to prefill a token."""
        if len(self._samples) < MIN_SAMPLES:
            return INITIAL_SECONDS_PER_TOKEN
        return statistics.quantiles(self._samples, n=4)[0]

    def record_sent(self, key, tokens, now):
        """Record that a prompt is sent to the replica at a monotonic time."""
        self._sent[key] = _SentPrompt(tokens, now)
        oldest = next(iter(self._sent.values()))
        if now - oldest.sent_at > MAX_PREFILL_TIME:
            self._sent.popitem(last=False)

    def forget(self, key):
        """Forget a prompt that was not sent after all."""
        self._sent.pop(key, None)

    def record_ended(self, key, now):
        """Record the first event after a prompt at a monotonic time."""
        prompt = self._sent.pop(key, None)
        if prompt is None:
            return
        duration = now - max(prompt.sent_at, self._last_ended_at)
        self._last_ended_at = now
        if duration > SAME_STEP_TIME and self._tokens >= SAMPLE_TOKENS:
            self._samples.append(self._duration.total_seconds() / self._tokens)
            self._tokens, self._duration = 0, NO_DELAY
        self._tokens += prompt.tokens
        self._duration += duration
