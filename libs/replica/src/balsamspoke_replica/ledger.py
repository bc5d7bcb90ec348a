"""Deduplication of attempts, so that each runs at most once."""

import enum
from collections import OrderedDict


class AttemptState(enum.Enum):
    """State of an attempt in this process.

    ``FENCED`` attempts were cancelled or fenced before they arrived. ``FORGOTTEN``
    attempts are too old to be remembered, so that whether they ran isn't known.
    """

    UNSEEN = "unseen"
    FENCED = "fenced"
    QUEUED = "queued"
    REFUSED = "refused"
    HANDED_OVER = "handed-over"
    FORGOTTEN = "forgotten"


class AttemptLedger:
    """Remember the state of recent attempts, and recognize forgotten ones.

    Parameters
    ----------
    clock : Clock
        Monotonic time and timers.
    memory : timedelta
        How long an attempt is remembered after its last change of state.
    capacity : int
        Maximum number of remembered attempts.

    Notes
    -----
    Attempt numbers of one origin increase. When an attempt is dropped, the
    watermark of its origin rises to its number. Attempts up to the watermark that
    are no longer remembered count as forgotten: they are never run, and never
    reported as not run. A watermark is dropped ``WATERMARK_MEMORY_FACTOR`` times
    ``memory`` after its last update.
    """

    WATERMARK_MEMORY_FACTOR = 6

    def __init__(self, clock, memory, capacity):
        self._clock = clock
        self._memory = memory
        self._capacity = capacity
        self._states = OrderedDict()
        self._watermarks = OrderedDict()

    def __len__(self):
        return len(self._states)

    def find(self, attempt):
        """Return the AttemptState of an attempt."""
        entry = self._states.get(attempt)
        if entry is not None:
            return entry[0]
        watermark = self._watermarks.get(attempt.origin)
        if watermark is not None and attempt.number <= watermark[0]:
            return AttemptState.FORGOTTEN
        return AttemptState.UNSEEN

    def set(self, attempt, state):
        """Remember the AttemptState of an attempt."""
        self._states[attempt] = (state, self._clock.monotonic())
        self._states.move_to_end(attempt)
        self._drop_expired()

    def _drop_expired(self):
        now = self._clock.monotonic()
        while self._states:
            attempt, (_, changed_at) = next(iter(self._states.items()))
            if len(self._states) <= self._capacity and now - changed_at < self._memory:
                break
            del self._states[attempt]
            self._raise_watermark(attempt, now)
        self._drop_idle_watermarks(now - self._memory * self.WATERMARK_MEMORY_FACTOR)

    def _raise_watermark(self, attempt, now):
        watermark, _ = self._watermarks.get(attempt.origin, (attempt.number, now))
        self._watermarks[attempt.origin] = (max(watermark, attempt.number), now)
        self._watermarks.move_to_end(attempt.origin)

    def _drop_idle_watermarks(self, before):
        while self._watermarks:
            origin, (_, changed_at) = next(iter(self._watermarks.items()))
            if changed_at >= before:
                break
            del self._watermarks[origin]
