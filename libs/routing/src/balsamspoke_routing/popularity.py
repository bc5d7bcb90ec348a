"""Recent load of each adapter at this entry process."""

from collections import OrderedDict


class AdapterPopularity:
    """Decaying counts of requests, for the adapters used last.

    Parameters
    ----------
    half_life : timedelta
        Age at which a request counts half.
    limit : int
        Adapters that are followed.

    Attributes
    ----------
    entry_count : int
        Entry processes that share the load; counts are multiplied by it.
    """

    def __init__(self, half_life, limit):
        self._half_life = half_life
        self._limit = limit
        self._counts = OrderedDict()
        self.entry_count = 1

    def note_request(self, adapter, now):
        """Count a request; return the recent requests over all entry processes."""
        count, since = self._counts.pop(adapter, (0.0, now))
        count = 1.0 + count * 0.5 ** ((now - since) / self._half_life)
        self._counts[adapter] = (count, now)
        if len(self._counts) > self._limit:
            self._counts.popitem(last=False)
        return count * self.entry_count
