"""Recent request counts of each adapter at this entry process."""

from collections import OrderedDict


class AdapterPopularity:
    """Exponentially decaying request counts of the most recently used adapters.

    Parameters
    ----------
    half_life : timedelta
        Age at which a request counts half.
    maximum_adapters : int
        Most adapters that are counted; beyond it the least recently used one is
        evicted.

    Attributes
    ----------
    entry_count : int
        Entry processes that share the requests. Returned counts are multiplied by
        it, as each process counts only its own requests.
    """

    def __init__(self, half_life, maximum_adapters):
        self._half_life = half_life
        self._maximum_adapters = maximum_adapters
        self._counts = OrderedDict()
        self.entry_count = 1

    def record_request(self, adapter, now):
        """Count a request and estimate the recent requests at all entry processes.

        Parameters
        ----------
        adapter : AdapterRef
            Adapter of the request.
        now : timedelta
            Monotonic time.

        Returns
        -------
        float
            This process's decayed count, multiplied by ``entry_count``.
        """
        count, last_request_at = self._counts.pop(adapter, (0.0, now))
        count = 1.0 + count * 0.5 ** ((now - last_request_at) / self._half_life)
        self._counts[adapter] = (count, now)
        if len(self._counts) > self._maximum_adapters:
            self._counts.popitem(last=False)
        return count * self.entry_count
