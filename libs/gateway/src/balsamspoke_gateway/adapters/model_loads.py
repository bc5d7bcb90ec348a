"""Time until a replica holds its base model."""

from ..exceptions import NO_DELAY


class ModelLoadMonitor:
    """Predict when a replica that has no model yet will hold one.

    This handles replicas that restart together and load their model: callers are told
    to return when it is there. A replica that held a model before loads it from its own
    disk; if that takes longer than it should, the model comes from the weight store.
    """

    def __init__(self):
        self._started_at = None

    def record_report(self, report, now):
        """Record an EngineReport at a monotonic time."""
        if report.models:
            self._started_at = None
        elif self._started_at is None:
            self._started_at = now

    def predict_wait(self, engine, now):
        """Return the timedelta until the replica holds its model.

        Parameters
        ----------
        engine : EngineLimits or None
            Limits of the replica with the load times of its models; None if unknown.
        now : timedelta
            Monotonic time.
        """
        if self._started_at is None or engine is None or not engine.models:
            return NO_DELAY
        elapsed = now - self._started_at
        model = engine.models[0]
        for load_time in (model.disk_load_time, model.store_load_time):
            if elapsed < load_time:
                return load_time - elapsed
        return NO_DELAY
