"""Shares of a team's token limit, read from the metrics of entry processes."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from datetime import timedelta

from balsamspoke_platform import HttpFailure
from prometheus_client.parser import text_string_to_metric_families
from twisted.internet.defer import inlineCallbacks

from .exceptions import ProcessUnreachable

REQUEST_TIMEOUT = timedelta(seconds=2)
_OK = 200
_TOKENS_LEFT = "balsamspoke_team_tokens_left"
_RATE = "balsamspoke_team_rate"
_ADMITTED = "balsamspoke_team_admitted_tokens"


@dataclass(frozen=True, slots=True)
class ProcessShare:
    """Share of a team's token limit at one entry process.

    Attributes
    ----------
    process : str
        ``ip:port`` of the process's metrics page.
    tokens_left : float
        Tokens that the process may admit at once.
    rate : float
        Tokens a second that are added to ``tokens_left``.
    admitted : float
        Tokens admitted since the process started.
    """

    process: str
    tokens_left: float
    rate: float
    admitted: float


class MetricsClient(ABC):
    """Client of the metrics pages of processes."""

    @abstractmethod
    def read(self, address):
        """Return a Deferred of the text of a metrics page.

        Parameters
        ----------
        address : str
            ``ip:port`` of the metrics page.

        Raises
        ------
        ProcessUnreachable
            If the page can't be fetched.
        """


class HttpMetricsClient(MetricsClient):
    """Client of the metrics pages over HTTP.

    Parameters
    ----------
    make_client : callable
        Called with a base URL; returns an HttpClient.
    """

    def __init__(self, make_client):
        self._make_client = make_client

    @inlineCallbacks
    def read(self, address):
        """Return a Deferred of the text of a metrics page."""
        client = self._make_client(f"http://{address}")
        try:
            reply = yield client.call("GET", "/metrics", REQUEST_TIMEOUT)
        except HttpFailure as error:
            raise ProcessUnreachable(f"{address}: {error}") from error
        if reply.status != _OK:
            raise ProcessUnreachable(f"{address}: answered {reply.status}")
        return reply.body.decode()


def parse_share(address, text, team):
    """Return a team's ProcessShare in a metrics page, or None if it has none."""
    values = {
        sample.name: sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
        if sample.labels.get("team") == team
    }
    if _TOKENS_LEFT not in values:
        return None
    return ProcessShare(address, values[_TOKENS_LEFT], values[_RATE], values[_ADMITTED])
