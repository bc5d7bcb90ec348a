"""Queueing delays of each team at replicas, read from the metrics of processes."""

import urllib.request
from collections import Counter
from dataclasses import dataclass

from prometheus_client.parser import text_string_to_metric_families

REQUEST_TIMEOUT_SECONDS = 5.0
# Upper bound of a histogram bucket, in seconds; longer waits count as stalls.
STALL_BUCKET = "0.1"
_QUEUE = "balsamspoke_queue_seconds"
_LOAD = "balsamspoke_adapter_load_seconds"


@dataclass(frozen=True, slots=True)
class StallReport:
    """Queueing delays and adapter loads of all replicas.

    Attributes
    ----------
    started : Counter
        Requests that replicas started, by team.
    within_bucket : Counter
        Started requests that waited at most ``STALL_BUCKET`` seconds, by team.
    loads : int
        Number of adapter loads.
    """

    started: Counter
    within_bucket: Counter
    loads: int


def read_stalls(status_urls):
    """Return the StallReport over the processes at some base URLs.

    Raises
    ------
    OSError
        If a process's metrics can't be fetched.
    """
    started, within_bucket, loads = Counter(), Counter(), 0
    for url in status_urls:
        with urllib.request.urlopen(
            f"{url}/metrics", timeout=REQUEST_TIMEOUT_SECONDS
        ) as reply:
            text = reply.read().decode()
        for family in text_string_to_metric_families(text):
            for sample in family.samples:
                team = sample.labels.get("team")
                if sample.name == f"{_QUEUE}_count":
                    started[team] += int(sample.value)
                elif sample.name == f"{_QUEUE}_bucket":
                    if sample.labels["le"] == STALL_BUCKET:
                        within_bucket[team] += int(sample.value)
                elif sample.name == f"{_LOAD}_count":
                    loads += int(sample.value)
    return StallReport(started, within_bucket, loads)


def format_stalls(report):
    """Return a StallReport as a table."""
    lines = [f"{'team':<20}{'started':>9}{'waited over 0.1 s':>20}"]
    for team in sorted(report.started):
        started = report.started[team]
        waited = started - report.within_bucket[team]
        lines.append(f"{team:<20}{started:>9}{waited:>20}")
    lines.append(f"adapter loads: {report.loads}")
    return "\n".join(lines)
