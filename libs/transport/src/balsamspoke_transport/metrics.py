"""Metrics of an entry or side process, in the Prometheus format."""

from balsamspoke_gateway.observing import (
    AttemptEnded,
    Observer,
    OrderGiven,
    RequestEnded,
    RetryDecided,
)
from opentelemetry.metrics import Observation

from .meters import EventMeter, read_metrics
from .pages import Page

SECONDS_BUCKETS = (
    0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 1.6, 2.5, 4.0, 6.3, 10.0, 20.0,
)  # fmt: skip
_OK = 200
_CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


class MetricsObserver(EventMeter, Observer):
    """Record requests, attempts and orders as metrics by team, service and outcome.

    Other events are only counted.
    """

    def __init__(self):
        super().__init__({"*_seconds": SECONDS_BUCKETS}, "Changes of what is believed.")
        meter = self.meter
        self._durations = meter.create_histogram(
            "balsamspoke_request_seconds", description="Request to its final answer."
        )
        self._first_events = meter.create_histogram(
            "balsamspoke_first_event_seconds",
            description="Request to the first event of its stream.",
        )
        self._attempts = meter.create_counter(
            "balsamspoke_attempts", description="Attempts at replicas by outcome."
        )
        self._retries = meter.create_counter(
            "balsamspoke_retries", description="Retries by whether the budget has one."
        )
        self._orders = meter.create_counter(
            "balsamspoke_orders", description="Orders to the replica by outcome."
        )
        self.add_handler(RequestEnded, self._record_request)
        self.add_handler(AttemptEnded, self._count_attempt)
        self.add_handler(RetryDecided, self._count_retry)
        self.add_handler(OrderGiven, self._count_order)

    def add_gauge(self, name, description, read):
        """Add a gauge.

        Parameters
        ----------
        name, description : str
            Name and help text of the metric.
        read : callable
            Returns the current value, or None to report none.
        """

        def observe():
            value = read()
            return [] if value is None else [Observation(value)]

        self._add_gauge(name, description, observe)

    def add_team_gauge(self, name, description, read):
        """Add a gauge with a value for each team.

        Parameters
        ----------
        name, description : str
            Name and help text of the metric.
        read : callable
            Returns pairs of team name and current value.
        """

        def observe():
            # Teams beyond the maximum share a label, which shows the last one's value.
            return [
                Observation(value, {"team": self.labels.find(team)})
                for team, value in read()
            ]

        self._add_gauge(name, description, observe)

    def _add_gauge(self, name, description, observe):
        self.meter.create_observable_gauge(
            name, [lambda _: observe()], description=description
        )

    def _record_request(self, event):
        team = self.labels.find(event.team)
        labels = {"team": team, "outcome": event.outcome}
        self._durations.record(event.duration.total_seconds(), labels)
        if event.first_event is not None:
            seconds = event.first_event.total_seconds()
            self._first_events.record(seconds, {"team": team})

    def _count_attempt(self, event):
        labels = {"service": event.service, "outcome": event.outcome}
        self._attempts.add(1, labels)

    def _count_retry(self, event):
        labels = {"service": event.service, "allowed": str(event.is_allowed).lower()}
        self._retries.add(1, labels)

    def _count_order(self, event):
        self._orders.add(1, {"kind": event.kind, "outcome": event.outcome})


def make_metrics_page():
    """Return a Page with all metrics of the process."""
    return Page(_OK, _CONTENT_TYPE, read_metrics())
