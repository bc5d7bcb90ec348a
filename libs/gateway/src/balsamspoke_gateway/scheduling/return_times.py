"""Times at which refused callers are to come back."""

from datetime import timedelta

# Longest time added to that until there is room for one request more.
MAX_ADDED_DELAY = timedelta(seconds=10)
# Lower rates, in tokens a second, count as this one.
MIN_RATE = 1.0


class ReturnTimes:
    """Spread the returns of refused callers over the time in which there is room.

    This handles a team that asks for far more than its limit: told to return as soon
    as the limit allows one request more, all would come at once and be refused again.
    Each refused request takes the next free time at the rate at which they can be
    admitted, so callers return in the order of their refusal. Those whose time would
    be too far away are spread over the last half of what may be added.

    The first caller that a process refuses is told a random time within the one that
    its request takes of the limit. Otherwise the first ones of many processes, which
    don't know of each other, would come at once.

    Parameters
    ----------
    draw : callable
        Returns a random number in [0, 1).
    """

    def __init__(self, draw):
        self._draw = draw
        self._next_times = {}

    def reserve(self, key, earliest, tokens, rate, now):
        """Return the time after which a refused caller is to come back.

        Parameters
        ----------
        key : str
            What was short, such as a team's limit.
        earliest : timedelta
            Time until there is room for this request alone.
        tokens : int
            Length of the request.
        rate : float
            Tokens a second that can be admitted here.
        now : timedelta
            Monotonic time.
        """
        seconds = min(MAX_ADDED_DELAY.total_seconds(), tokens / max(rate, MIN_RATE))
        step = timedelta(seconds=seconds)
        first = now + earliest
        latest = first + MAX_ADDED_DELAY
        time = self._next_times.get(key, now)
        if time > latest:
            return earliest + MAX_ADDED_DELAY * (1 - self._draw() / 2)
        if time <= first:
            time = first + step * self._draw()
        self._next_times[key] = time + step
        return time - now
