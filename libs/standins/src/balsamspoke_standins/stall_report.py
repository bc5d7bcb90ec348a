"""How long each team's requests waited at replicas, from the metrics of processes."""

import urllib.request
from collections import Counter
from dataclasses import dataclass

from prometheus_client.parser import text_string_to_metric_families

REQUEST_SECONDS = 5.0
STALL_BOUND = "0.1"
_QUEUE = "balsamspoke_queue_seconds"
_LOAD = "balsamspoke_adapter_load_seconds"


@dataclass(frozen=True, slots=True)
class StallReport:
    """Waits at replicas.

    Attributes
    ----------
    started : Counter
        Requests that replicas started, by team.
    prompt : Counter
        Those of them that waited at most ``STALL_BOUND`` seconds.
    loads : int
        Adapter loads.
    """

    started: Counter
    prompt: Counter
    loads: int


def read_stalls(status_urls):
    """Add up the metrics of all processes at some base addresses.

    Raises
    ------
    OSError
        If a process doesn't answer.
    """
    started, prompt, loads = Counter(), Counter(), 0
    for url in status_urls:
        with urllib.request.urlopen(f"{url}/metrics", timeout=REQUEST_SECONDS) as reply:
            text = reply.read().decode()
        for family in text_string_to_metric_families(text):
            for sample in family.samples:
                team = sample.labels.get("team")
                if sample.name == f"{_QUEUE}_count":
                    started[team] += int(sample.value)
                elif sample.name == f"{_QUEUE}_bucket":
                    if sample.labels["le"] == STALL_BOUND:
                        prompt[team] += int(sample.value)
                elif sample.name == f"{_LOAD}_count":
                    loads += int(sample.value)
    return StallReport(started, prompt, loads)


def format_stalls(report):
    """Return the report as a table."""
    lines = [f"{'team':<20}{'started':>9}{'waited over 0.1 s':>20}"]
    for team in sorted(report.started):
        started = report.started[team]
        waited = started - report.prompt[team]
        lines.append(f"{team:<20}{started:>9}{waited:>20}")
    lines.append(f"adapter loads: {report.loads}")
    return "\n".join(lines)
