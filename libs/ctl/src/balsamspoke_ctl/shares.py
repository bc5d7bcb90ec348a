"""A team's shares of its limit, from the metrics of entry processes."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from datetime import timedelta

from balsamspoke_platform import HttpFailure
from prometheus_client.parser import text_string_to_metric_families
from twisted.internet.defer import inlineCallbacks

from .exceptions import ProcessUnreachable

ASK_TIMEOUT = timedelta(seconds=2)
_OK = 200
_TOKENS_LEFT = "balsamspoke_team_tokens_left"
_RATE = "balsamspoke_team_rate"
_ADMITTED = "balsamspoke_team_admitted_tokens"


@dataclass(frozen=True, slots=True)
class ProcessShare:
    """What one process may admit of a team, in tokens.

    Attributes
    ----------
    process : str
        Address of its metrics.
    tokens_left, rate, admitted : float
        At once; a second; since its start.
    """

    process: str
    tokens_left: float
    rate: float
    admitted: float


class MetricsClient(ABC):
    """Reads the metrics pages of processes."""

    @abstractmethod
    def read(self, address):
        """Return a Deferred of the page's text; it fails with ProcessUnreachable."""


class HttpMetricsClient(MetricsClient):
    """Read over HTTP.

    Parameters
    ----------
    make_caller : callable
        Takes a base address, returns an HttpCaller.
    """

    def __init__(self, make_caller):
        self._make_caller = make_caller

    @inlineCallbacks
    def read(self, address):
        """Return a Deferred of the page's text."""
        caller = self._make_caller(f"http://{address}")
        try:
            reply = yield caller.call("GET", "/metrics", ASK_TIMEOUT)
        except HttpFailure as error:
            raise ProcessUnreachable(f"{address}: {error}") from error
        if reply.status != _OK:
            raise ProcessUnreachable(f"{address}: answered {reply.status}")
        return reply.body.decode()


def parse_share(address, text, team):
    """Return the ProcessShare of a team, or None if the page tells of none."""
    values = {
        sample.name: sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
        if sample.labels.get("team") == team
    }
    if _TOKENS_LEFT not in values:
        return None
    return ProcessShare(address, values[_TOKENS_LEFT], values[_RATE], values[_ADMITTED])
