"""Recent request counts of adapters."""

import math
from collections import OrderedDict
from datetime import timedelta

# Half-life of a request's weight in the count.
HALF_LIFE = timedelta(seconds=5)
# Adapters tracked; the least recently requested is evicted first.
MAX_ADAPTERS = 20_000


class AdapterPopularity:
    """Count each adapter's recent requests at this process, with exponential decay.

    Parameters
    ----------
    half_life : timedelta
        Age at which a request counts half.
    max_adapters : int
        Most adapters that are counted.
    """

    def __init__(self, half_life=HALF_LIFE, max_adapters=MAX_ADAPTERS):
        self._half_life = half_life
        self._max_adapters = max_adapters
        self._counts = OrderedDict()

    def count_request(self, adapter, now):
        """Count a request for an adapter at a monotonic time; return its new count.

        The adapter may be identified by any hashable object.
        """
        count, updated = self._counts.pop(adapter, (0.0, now))
        count = count * 0.5 ** ((now - updated) / self._half_life) + 1
        self._counts[adapter] = (count, now)
        if len(self._counts) > self._max_adapters:
            self._counts.popitem(last=False)
        return count

    def estimate_rate(self, count):
        """Return the requests a second for an adapter with a count."""
        return count * math.log(2) / self._half_life.total_seconds()

    def find_rate(self, adapter, now):
        """Return the requests a second for an adapter; 0 if not known."""
        count, updated = self._counts.get(adapter, (0.0, now))
        return self.estimate_rate(count * 0.5 ** ((now - updated) / self._half_life))
