"""The retry budget: second attempts stay a small part of a service's requests."""

from collections import deque

# The budget of the whole fleet is spent by several processes that do not ask each
# other; a part stays unspent for those that have not heard of a new process yet.
SPENDABLE_RATIO = 0.8


class RetryBudget:
    """Count one process's attempts at one service over a sliding window.

    Answers a failing or overloaded service: without a bound, retries would
    multiply the load just when it can't be served.

    Parameters
    ----------
    ratio : float
        Retries for each request of the window.
    extra : float
        Retries beyond that in a window, of the whole fleet.
    window : timedelta
        Any span of this length counts.
    """

    def __init__(self, ratio, extra, window):
        self._ratio = ratio
        self._extra = extra
        self._window = window
        self._requests = deque()
        self._retries = deque()

    def record_request(self, now):
        """Count a request's first attempt at a time (timedelta)."""
        self._requests.append(now)

    def take(self, now, processes):
        """Spend a retry if the budget allows; return whether it does.

        Parameters
        ----------
        now : timedelta
            Monotonic time.
        processes : int
            How many share the extra.
        """
        self._expire(now)
        allowed = self._ratio * len(self._requests) + self._extra / max(1, processes)
        if len(self._retries) + 1 > SPENDABLE_RATIO * allowed:
            return False
        self._retries.append(now)
        return True

    def _expire(self, now):
        cutoff = now - self._window
        for times in (self._requests, self._retries):
            while times and times[0] <= cutoff:
                times.popleft()
