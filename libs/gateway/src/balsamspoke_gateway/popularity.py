"""How often adapters are asked for lately."""

import math
from collections import OrderedDict
from datetime import timedelta

# An adapter's past requests count half after this time.
HALF_LIFE = timedelta(seconds=5)
# Adapters remembered; those not asked for the longest are forgotten first.
MAX_ADAPTERS = 20_000


class AdapterPopularity:
    """Estimate the rate of requests for each adapter at this process."""

    def __init__(self):
        self._counts = OrderedDict()

    def count_request(self, target, now):
        """Count a request for an AdapterName; return requests a second."""
        count, updated = self._counts.pop(target, (0.0, now))
        count = count * 0.5 ** ((now - updated) / HALF_LIFE) + 1
        self._counts[target] = (count, now)
        if len(self._counts) > MAX_ADAPTERS:
            self._counts.popitem(last=False)
        return count * math.log(2) / HALF_LIFE.total_seconds()
