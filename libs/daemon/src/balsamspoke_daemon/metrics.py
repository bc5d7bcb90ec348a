"""OpenTelemetry histograms and counters of the daemon."""

from balsamspoke_gateway.observing import Observer
from balsamspoke_node import RequestEnded, TokensGap
from balsamspoke_replica import LoadEnded, RequestRefused, RequestStarted
from balsamspoke_transport.meters import EventMeter

SECONDS_BUCKETS = (
    0.005, 0.01, 0.02, 0.03, 0.042, 0.06, 0.1, 0.15, 0.25,
    0.4, 0.63, 1.0, 1.6, 2.5, 4.0, 6.3, 10.0, 20.0, 40.0,
)  # fmt: skip
TOKENS_BUCKETS = (1, 4, 16, 64, 256, 1024, 4096)


class MetricsObserver(EventMeter, Observer):
    """Record the durations and counts of events as metrics, most of them by team."""

    def __init__(self):
        super().__init__(
            {"*_seconds": SECONDS_BUCKETS, "*_tokens": TOKENS_BUCKETS},
            "Other events by name.",
        )
        meter = self.meter
        self._first_token = meter.create_histogram(
            "balsamspoke_first_token_seconds", description="Arrival to first token."
        )
        self._between_tokens = meter.create_histogram(
            "balsamspoke_between_tokens_seconds", description="Token to next token."
        )
        self._duration = meter.create_histogram(
            "balsamspoke_request_seconds", description="Arrival to final answer."
        )
        self._tokens = meter.create_histogram(
            "balsamspoke_generated_tokens", description="Tokens of an answer."
        )
        self._queue = meter.create_histogram(
            "balsamspoke_queue_seconds",
            description="Arrival at a replica to its start.",
        )
        self._load = meter.create_histogram(
            "balsamspoke_adapter_load_seconds", description="Order to load to its end."
        )
        self._refusals = meter.create_counter(
            "balsamspoke_refusals", description="Refused requests by cause."
        )
        self.add_handler(TokensGap, self._record_gap)
        self.add_handler(RequestEnded, self._record_end)
        self.add_handler(RequestStarted, self._record_start)
        self.add_handler(RequestRefused, self._record_refusal)
        self.add_handler(LoadEnded, self._record_load)

    def _record_gap(self, event):
        labels = {"team": self.labels.find(event.team)}
        self._between_tokens.record(event.gap.total_seconds(), labels)

    def _record_start(self, event):
        labels = {"team": self.labels.find(event.team)}
        self._queue.record(event.waited.total_seconds(), labels)

    def _record_refusal(self, event):
        labels = {"team": self.labels.find(event.team), "cause": event.cause.value}
        self._refusals.add(1, labels)

    def _record_load(self, event):
        self._load.record(event.duration.total_seconds())

    def _record_end(self, event):
        team = self.labels.find(event.team)
        labels = {"team": team, "class": event.priority.value}
        self._duration.record(event.duration.total_seconds(), labels)
        if event.first_token is not None:
            self._first_token.record(event.first_token.total_seconds(), labels)
            self._tokens.record(event.tokens, labels)
        if event.refusal is not None:
            cause = event.refusal.cause.value
            self._refusals.add(1, {"team": team, "cause": cause})
