"""What observers that count and time events share, by OpenTelemetry."""

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from prometheus_client import REGISTRY, generate_latest

from .team_labels import TeamLabels


class EventMeter:
    """Hand each event to what measures its kind, and count those of other kinds.

    Parameters
    ----------
    buckets : dict
        Upper bounds of histograms' buckets, by pattern of their names.
    events : str
        Description of the counter of other events.

    Attributes
    ----------
    meter : Meter
        For instruments of the observer and of its process.
    labels : TeamLabels
        Bounds the labels of teams.
    """

    def __init__(self, buckets, events):
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
            "balsamspoke_events", description=events
        )
        self._handlers = {}

    def measure(self, kind, handle):
        """Let a callable take the events of a class."""
        self._handlers[kind] = handle

    def observe(self, event):
        """Take an event."""
        handle = self._handlers.get(type(event))
        if handle is not None:
            handle(event)
        else:
            self._events.add(1, {"event": type(event).__name__})


def read_metrics():
    """Return all metrics of the process in the Prometheus text format."""
    return generate_latest(REGISTRY)
