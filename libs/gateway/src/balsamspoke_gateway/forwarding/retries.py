"""Retry budget, which keeps retries a small fraction of a service's requests."""

from collections import deque

# Fraction of the budget that is used. The processes share the fleet's budget without
# coordination, and some of them may not count a new process yet.
SPENDABLE_RATIO = 0.8


class RetryBudget:
    """Retry budget of one process for one service over a sliding window.

    Without a bound, retries would multiply the load on a service that fails or is
    overloaded.

    Parameters
    ----------
    ratio : float
        Retries allowed per request in the window.
    extra : float
        Retries of the whole fleet allowed in the window in addition.
    window : timedelta
        Length of the sliding window.
    """

    def __init__(self, ratio, extra, window):
        self._ratio = ratio
        self._extra = extra
        self._window = window
        self._requests = deque()
        self._retries = deque()

    @property
    def counted_requests(self):
        """Requests that the budget counts."""
        return len(self._requests)

    @property
    def counted_retries(self):
        """Retries that the budget counts."""
        return len(self._retries)

    def record_request(self, now):
        """Record the first attempt of a request at a monotonic time (timedelta)."""
        self._requests.append(now)

    def take(self, now, processes):
        """Take a retry from the budget; return whether the budget allows it.

        Parameters
        ----------
        now : timedelta
            Monotonic time.
        processes : int
            Number of processes that share ``extra``.
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
