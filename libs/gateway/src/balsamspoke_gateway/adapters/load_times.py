"""Time that adapter loads take at a replica, measured on its reports."""

from datetime import timedelta

# Load time that is assumed before the first measurement.
INITIAL_LOAD_TIME = timedelta(milliseconds=350)
# Weight of a new sample in the exponential moving average.
ESTIMATE_WEIGHT = 0.1


class AdapterLoadTimes:
    """Estimate how long a replica takes to load an adapter.

    It depends on the weight store and on the loads of all other replicas, so it is
    measured from the first report that lists an adapter as pending to the first one
    that lists it as held.
    """

    def __init__(self):
        self._started_at = {}
        self._estimate = INITIAL_LOAD_TIME

    @property
    def estimate(self):
        """Estimated timedelta of a load."""
        return self._estimate

    def find_shortest_age(self, now):
        """Return the time since the latest load began; None if none is under way."""
        return min((now - each for each in self._started_at.values()), default=None)

    def record_report(self, report, now):
        """Record an EngineReport at a monotonic time."""
        held = {
            f"{model}/{name}"
            for model, adapters in report.models.items()
            for name in adapters
        }
        for adapter in set(self._started_at) - set(report.pending):
            started_at = self._started_at.pop(adapter)
            if adapter in held:
                sample = now - started_at
                self._estimate += ESTIMATE_WEIGHT * (sample - self._estimate)
        for adapter in report.pending:
            self._started_at.setdefault(adapter, now)
