"""Memory of attempts, so that each runs at most once."""

import enum
from collections import OrderedDict


class AttemptState(enum.Enum):
    """What this process did with an attempt."""

    UNSEEN = "unseen"
    FENCED = "fenced"
    QUEUED = "queued"
    REFUSED = "refused"
    HANDED_OVER = "handed-over"
    FORGOTTEN = "forgotten"


class AttemptLedger:
    """Remember attempts for a time, and which older ones can't be told any more.

    Parameters
    ----------
    clock : Clock
        Time.
    memory : timedelta
        How long an attempt is remembered after its last change.
    capacity : int
        Most attempts remembered.

    Notes
    -----
    Numbers of one origin increase. When an attempt is dropped, all of its origin
    with the same or a lower number count as forgotten unless they are still
    remembered: they are never run, and never said to be not run. The mark of an
    origin is dropped `ORIGIN_MEMORIES` memory times after it last moved.
    """

    ORIGIN_MEMORIES = 6

    def __init__(self, clock, memory, capacity):
        self._clock = clock
        self._memory = memory
        self._capacity = capacity
        self._states = OrderedDict()
        self._floors = OrderedDict()

    def __len__(self):
        return len(self._states)

    def find(self, attempt):
        """Return the AttemptState of an attempt."""
        known = self._states.get(attempt)
        if known is not None:
            return known[0]
        floor = self._floors.get(attempt.origin)
        if floor is not None and attempt.number <= floor[0]:
            return AttemptState.FORGOTTEN
        return AttemptState.UNSEEN

    def set(self, attempt, state):
        """Remember the AttemptState of an attempt."""
        self._states[attempt] = (state, self._clock.monotonic())
        self._states.move_to_end(attempt)
        self._drop_old()

    def _drop_old(self):
        now = self._clock.monotonic()
        while self._states:
            attempt, (_, since) = next(iter(self._states.items()))
            if len(self._states) <= self._capacity and now - since < self._memory:
                break
            del self._states[attempt]
            self._raise_floor(attempt, now)
        self._drop_origins(now - self._memory * self.ORIGIN_MEMORIES)

    def _raise_floor(self, attempt, now):
        floor, _ = self._floors.get(attempt.origin, (attempt.number, now))
        self._floors[attempt.origin] = (max(floor, attempt.number), now)
        self._floors.move_to_end(attempt.origin)

    def _drop_origins(self, before):
        while self._floors:
            origin, (_, since) = next(iter(self._floors.items()))
            if since >= before:
                break
            del self._floors[origin]
