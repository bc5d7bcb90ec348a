"""Retry budget, which keeps retries a small fraction of a service's requests."""

from itertools import accumulate

from .slot_counts import SlotCounts

_SLOTS_PER_WINDOW = 20
# Requests count from one window before the oldest window that still goes on.
_SLOTS = 2 * _SLOTS_PER_WINDOW + 1


class RetryBudget:
    """Retry budget of one process for one service.

    Without a bound, retries would multiply the load on a service that fails or is
    overloaded. The bound holds for any window of time. The requests that count for a
    window are those in it, in the window before it or in the one half a window before
    it, whichever are most.

    Parameters
    ----------
    window : timedelta
        Length of a window.
    """

    def __init__(self, window):
        slot = window / _SLOTS_PER_WINDOW
        self._requests = SlotCounts(slot, _SLOTS)
        self._retries = SlotCounts(slot, _SLOTS)

    def count_requests(self, now):
        """Return the number of requests in the window that ends at a time."""
        return sum(self._requests.list_counts(now)[-_SLOTS_PER_WINDOW:])

    def count_retries(self, now):
        """Return the number of retries in the window that ends at a time."""
        return sum(self._retries.list_counts(now)[-_SLOTS_PER_WINDOW:])

    def record_request(self, now):
        """Record the first attempt of a request at a monotonic time (timedelta)."""
        self._requests.add(now)

    def take(self, now, share):
        """Take a retry from the budget; return whether the budget allows it.

        Parameters
        ----------
        now : timedelta
            Monotonic time.
        share : RetryShare
            Part of the fleet's budget that this process may use.
        """
        for retries, requests in self._list_windows(now):
            if retries + 1 > share.ratio * requests + share.extra:
                return False
        self._retries.add(now)
        return True

    def give_back(self, taken_at):
        """Return a retry that was taken at a time and has reached no replica."""
        self._retries.remove(taken_at)

    def _list_windows(self, now):
        """Return the retries and requests of each window that still goes on."""
        requests = [0, *accumulate(self._requests.list_counts(now))]
        retries = [0, *accumulate(self._retries.list_counts(now))]
        return [
            (retries[-1] - retries[begin], _count_most(requests, begin))
            for begin in range(_SLOTS_PER_WINDOW, _SLOTS)
        ]


def _count_most(requests, begin):
    """Return the most requests so far in the windows that count for one.

    Parameters
    ----------
    requests : list of int
        Requests before each slot, and in all slots.
    begin : int
        First slot of the window.
    """
    half = _SLOTS_PER_WINDOW // 2
    before = requests[begin + 1] - requests[begin + 1 - _SLOTS_PER_WINDOW]
    around = requests[min(begin + half, _SLOTS)] - requests[begin - half]
    since = requests[-1] - requests[begin]
    return max(before, around, since)
