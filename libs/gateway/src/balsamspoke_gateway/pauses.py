"""Pauses between the events of streams, and what they show of a service's engines."""

from dataclasses import dataclass
from datetime import timedelta

# Time for which a long pause is taken into account. It is long, as prompts are paced
# because of an earlier long pause, and pauses stay short meanwhile.
LONG_PAUSE_MEMORY = timedelta(minutes=5)
# Pauses beyond this multiple of the limit come from faults, not from reading prompts.
MAX_PAUSE_RATIO = 2.0


@dataclass(slots=True)
class _LongPauses:
    limit: timedelta
    expires: timedelta


class PauseMonitor:
    """Detect services whose streams pause too long while prompts are read.

    An engine reads prompts in pieces between the tokens of its running streams. Whether
    a few pieces in a row exceed the pause that a route allows depends on the engine's
    speed and on the tokens in one event, so it is observed.
    """

    def __init__(self):
        self._long_pauses = {}

    def record_pause(self, service, pause, limit, now):
        """Record a pause between two events of a stream.

        Parameters
        ----------
        service : str
            Name of the service that runs the stream.
        pause : timedelta
            Time between the events.
        limit : timedelta
            Longest pause that the route allows.
        now : timedelta
            Monotonic time.
        """
        if not limit < pause <= MAX_PAUSE_RATIO * limit:
            return
        shortest = min(limit, self.find_limit(service, now) or limit)
        self._long_pauses[service] = _LongPauses(shortest, now + LONG_PAUSE_MEMORY)

    def find_limit(self, service, now):
        """Return the shortest limit that was exceeded recently, or None.

        Parameters
        ----------
        service : str
            Name of the service.
        now : timedelta
            Monotonic time.
        """
        long_pauses = self._long_pauses.get(service)
        if long_pauses is None or now >= long_pauses.expires:
            return None
        return long_pauses.limit
