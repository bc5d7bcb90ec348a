"""OpenTelemetry metrics of events, shared by the metrics observers."""

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from prometheus_client import REGISTRY, generate_latest

from .team_labels import TeamLabels


class EventMeter:
    """Pass each event to the handler of its class; count events without a handler.

    Parameters
    ----------
    buckets : dict
        Upper bounds of histogram buckets, by pattern of instrument names.
    description : str
        Description of the counter of events without a handler.

    Attributes
    ----------
    meter : Meter
        Creates the instruments of the observer and of its process.
    labels : TeamLabels
        Limits the number of team labels.
    """

    def __init__(self, buckets, description):
        views = [
            View(
                instrument_name=pattern,
                aggregation=ExplicitBucketHistogramAggregation(bounds),
            )
            for pattern, bounds in buckets.items()
        ]
        provider = MeterProvider(metric_readers=[PrometheusMetricReader()], views=views)
        self.meter = provider.get_meter("balsamspoke")
        self.labels = TeamLabels()
        self._events = self.meter.create_counter(
            "balsamspoke_events", description=description
        )
        self._timer_lateness = self.meter.create_histogram(
            "balsamspoke_timer_lateness_seconds",
            description="How late timers run: each answer may be as late beside it.",
        )
        self._handlers = {}

    def record_lateness(self, lateness):
        """Record how late (timedelta) a timer of the process ran."""
        self._timer_lateness.record(lateness.total_seconds())

    def add_handler(self, event_class, handler):
        """Set the handler of an event class.

        Parameters
        ----------
        event_class : type
            The exact class; subclasses are not included.
        handler : callable
            Called with each event of the class.
        """
        self._handlers[event_class] = handler

    def observe(self, event):
        """Pass an event to its handler, or count it if there is none."""
        handler = self._handlers.get(type(event))
        if handler is not None:
            handler(event)
        else:
            self._events.add(1, {"event": type(event).__name__})


def read_metrics():
    """Return all metrics of the process in the Prometheus text format."""
    return generate_latest(REGISTRY)
