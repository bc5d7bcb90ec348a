"""Long pauses between the events of a replica's streams."""

from collections import deque
from dataclasses import dataclass
from datetime import timedelta

# Pauses beyond this multiple of the limit come from faults, not from reading prompts.
MAX_PAUSE_RATIO = 2.0
# Long pauses within this time show that the replica reads too many prompts at once.
# Reading delays all running streams, so fewer pauses have another cause.
MIN_LONG_PAUSES = 3
COUNTING_TIME = timedelta(seconds=5)
# Time for which prompts are paced afterwards. It is long compared to a burst of
# prompts, as pauses stay short meanwhile.
PACING_TIME = timedelta(minutes=1)


def is_long_pause(pause, limit):
    """Return whether a pause between two events may come from reading prompts.

    Parameters
    ----------
    pause : timedelta
        Time between the events.
    limit : timedelta
        Longest pause that the route allows.
    """
    return limit < pause <= MAX_PAUSE_RATIO * limit


@dataclass(frozen=True, slots=True)
class _LongPauses:
    count: int
    seen_at: timedelta


class PauseMonitor:
    """Detect that a replica's streams pause too long while it reads prompts.

    An engine reads prompts in pieces between the tokens of its running streams. Whether
    a few pieces in a row exceed the pause that a route allows depends on the engine's
    speed and on the tokens in one event, so it is observed.
    """

    def __init__(self):
        self._recent = deque()
        self._limit = None
        self._expires = timedelta(0)

    def record_pauses(self, count, limit, now):
        """Record long pauses.

        Parameters
        ----------
        count : int
            Number of pauses.
        limit : timedelta
            Limit that they exceeded.
        now : timedelta
            Monotonic time.
        """
        while self._recent and now - self._recent[0].seen_at > COUNTING_TIME:
            self._recent.popleft()
        if not count:
            return
        self._recent.append(_LongPauses(count, now))
        if self.recent_pauses < MIN_LONG_PAUSES:
            return
        self._limit = min(limit, self.find_limit(now) or limit)
        self._expires = now + PACING_TIME

    @property
    def recent_pauses(self):
        """Number of long pauses that were recorded within the counting time."""
        return sum(each.count for each in self._recent)

    def find_limit(self, now):
        """Return the limit that pauses exceeded recently (by monotonic time), or None.

        It is the shortest one if there are several.
        """
        return self._limit if now < self._expires else None
