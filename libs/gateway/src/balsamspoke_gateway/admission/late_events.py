"""Stream events that come late because a replica prefills too many prompts at once."""

from collections import deque
from dataclasses import dataclass
from datetime import timedelta

# Intervals beyond this multiple of the limit come from faults, not from prefill.
MAX_INTERVAL_RATIO = 2.0
# Late events within the counting time from which prefill is limited. Prefill delays all
# running streams, so fewer late events have another cause.
MIN_LATE_EVENTS = 3
COUNTING_TIME = timedelta(seconds=5)
# Time for which prefill is limited afterwards. It is long compared to a burst of
# prompts, as no events are late meanwhile.
RATE_LIMIT_TIME = timedelta(minutes=1)


def is_late_event(interval, limit):
    """Return whether an event may be late because of prefill.

    Parameters
    ----------
    interval : timedelta
        Time since the stream's previous event.
    limit : timedelta
        Longest interval that the route allows.
    """
    return limit < interval <= MAX_INTERVAL_RATIO * limit


@dataclass(frozen=True, slots=True)
class _LateEvents:
    count: int
    seen_at: timedelta


class LateEventMonitor:
    """Decide whether the prefill rate of a replica has to be limited.

    An engine prefills prompts in chunks between the tokens of its running streams.
    Whether a few chunks in a row delay an event beyond the interval that its route
    allows depends on the engine's speed and on the tokens in one event, so it is
    observed.
    """

    def __init__(self):
        self._recent = deque()
        self._limit = None
        self._expires = timedelta(0)

    @property
    def recent_late_events(self):
        """Number of late events that were recorded within the counting time."""
        return sum(each.count for each in self._recent)

    def record_late_events(self, count, limit, now):
        """Record late events.

        Parameters
        ----------
        count : int
            Number of late events.
        limit : timedelta
            Interval between events that they exceeded.
        now : timedelta
            Monotonic time.
        """
        while self._recent and now - self._recent[0].seen_at > COUNTING_TIME:
            self._recent.popleft()
        if not count:
            return
        self._recent.append(_LateEvents(count, now))
        if self.recent_late_events < MIN_LATE_EVENTS:
            return
        self._limit = min(limit, self.find_limit(now) or limit)
        self._expires = now + RATE_LIMIT_TIME

    def find_limit(self, now):
        """Return the interval that events exceeded recently, or None.

        Prefill is to be limited while it is not None. If events exceeded several
        limits, the shortest one is returned.

        Parameters
        ----------
        now : timedelta
            Monotonic time.
        """
        return self._limit if now < self._expires else None
