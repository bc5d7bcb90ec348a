"""Times at which callers are to come back that found no capacity."""

from datetime import timedelta

# Callers wait for up to this fraction of the time they have left, whatever they are
# told.
LONGEST_RETURN_RATIO = 1 / 3
# A shortage has ended if nobody was refused for this long.
SHORTAGE_GAP = timedelta(seconds=2)


class _Shortage:
    __slots__ = ("began_at", "last_refusal")

    def __init__(self, now):
        self.began_at = now
        self.last_refusal = now


class CapacityReturns:
    """Spread the returns of callers that were refused for lack of capacity.

    This handles a service that is full for many seconds: callers that come back within
    a second meet the same shortage, and most of them have no further retry. A shortage
    that has lasted for some time is expected to last for as long again, so callers are
    spread over that time, and the later ones outlast it.

    Parameters
    ----------
    draw : callable
        Returns a random number in [0, 1).
    """

    def __init__(self, draw):
        self._draw = draw
        self._shortages = {}

    def choose(self, service, earliest, time_left, now):
        """Return the time after which a refused caller is to come back.

        Parameters
        ----------
        service : str
            Name of the service that is full.
        earliest : timedelta
            Shortest time after which there may be room.
        time_left : timedelta
            Time until the request's deadline.
        now : timedelta
            Monotonic time.
        """
        age = self._record_refusal(service, now)
        latest = min(age, LONGEST_RETURN_RATIO * time_left)
        spread = max(timedelta(0), latest - earliest)
        return earliest + self._draw() * spread

    def _record_refusal(self, service, now):
        """Return for how long a service has been full."""
        shortage = self._shortages.get(service)
        if shortage is None or now - shortage.last_refusal > SHORTAGE_GAP:
            shortage = self._shortages[service] = _Shortage(now)
        shortage.last_refusal = now
        return now - shortage.began_at
