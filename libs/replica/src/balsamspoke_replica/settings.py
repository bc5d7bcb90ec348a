"""Settings of a replica."""

from dataclasses import dataclass
from datetime import timedelta

from .exceptions import ReplicaSettingsError


@dataclass(frozen=True, slots=True)
class ReplicaSettings:
    """Bounds and intervals of one replica.

    Attributes
    ----------
    queued_requests, queued_tokens : int
        Most requests and tokens in the queue.
    load_permits : int
        Most adapter loads in flight here.
    load_tries : int
        Failed loads in a row after which waiting requests are refused.
    load_backoff, load_backoff_limit : timedelta
        First and longest wait after a failed load.
    pass_over_time : timedelta
        How long requests on loaded adapters may go before one that waits for a slot.
    aging_time : timedelta
        Wait after which a request counts as one class more urgent.
    disconnect_grace : timedelta
        How long generations go on after their entry process is disconnected.
    release_delay : timedelta
        How long a cancelled generation still pins its adapter.
    orphan_time : timedelta
        Longest time that generations of an earlier process may go on for.
    collect_time : timedelta
        How long tokens of all streams to one peer are collected.
    stream_buffer : int
        Most tokens held for one stream without credit.
    poll_interval, poll_interval_down : timedelta
        Between two questions for the engine's report.
    report_interval, report_interval_idle : timedelta
        Least time between two reports to one peer, with and without a change.
    report_bytes : int
        Most bytes of reports sent a second, to all peers together.
    drain_time : timedelta
        How long a planned stop waits for running requests.
    attempt_memory : timedelta
        How long the end of an attempt is remembered.
    attempts_remembered : int
        Most attempts remembered.
    service_concurrency : int
        Calls that a plain service runs at a time.
    """

    queued_requests: int = 512
    queued_tokens: int = 400_000
    load_permits: int = 3
    load_tries: int = 3
    load_backoff: timedelta = timedelta(milliseconds=250)
    load_backoff_limit: timedelta = timedelta(seconds=30)
    pass_over_time: timedelta = timedelta(milliseconds=500)
    aging_time: timedelta = timedelta(seconds=2)
    disconnect_grace: timedelta = timedelta(seconds=2)
    release_delay: timedelta = timedelta(milliseconds=200)
    orphan_time: timedelta = timedelta(minutes=10)
    collect_time: timedelta = timedelta(milliseconds=5)
    stream_buffer: int = 4096
    poll_interval: timedelta = timedelta(seconds=1)
    poll_interval_down: timedelta = timedelta(milliseconds=200)
    report_interval: timedelta = timedelta(seconds=1)
    report_interval_idle: timedelta = timedelta(seconds=5)
    report_bytes: int = 1500
    drain_time: timedelta = timedelta(seconds=30)
    attempt_memory: timedelta = timedelta(minutes=10)
    attempts_remembered: int = 65_536
    service_concurrency: int = 64

    def __post_init__(self):
        for name in ("queued_requests", "queued_tokens", "load_permits", "load_tries"):
            if getattr(self, name) < 1:
                raise ReplicaSettingsError(f"{name} must be at least 1")
        for name in ("attempts_remembered", "service_concurrency", "stream_buffer"):
            if getattr(self, name) < 1:
                raise ReplicaSettingsError(f"{name} must be at least 1")


DEFAULT_SETTINGS = ReplicaSettings()
