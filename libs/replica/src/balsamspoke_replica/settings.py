"""Settings of replicas."""

from dataclasses import dataclass
from datetime import timedelta

from .exceptions import ReplicaSettingsError


@dataclass(frozen=True, slots=True)
class ReplicaSettings:
    """Limits and intervals of one replica.

    Attributes
    ----------
    queued_requests : int
        Maximum number of requests in the queue.
    queued_tokens : int
        Maximum sum of the tokens of the queued requests; engines only.
    load_permits : int
        Maximum number of concurrent adapter loads of this replica.
    load_tries : int
        Consecutive failed loads after which queued requests for the adapter are
        refused during the backoff. Loads that didn't reach the engine don't count.
    load_backoff : timedelta
        Longest backoff after the first failed load; it doubles with each further
        failure, and jitter shortens it by up to half.
    load_backoff_limit : timedelta
        Upper limit of the backoff.
    pass_over_time : timedelta
        Waiting time after which a request whose adapter isn't loaded is overdue: an
        adapter in demand may then be evicted for it, or kept from new requests.
    aging_time : timedelta
        Waiting time after which a request moves up by one priority class.
    disconnect_grace : timedelta
        Time after which the generations of a disconnected entry process are
        cancelled.
    release_delay : timedelta
        Time for which a cancelled generation still pins its adapter.
    orphan_time : timedelta
        Maximum time for which generations of an earlier process can still run.
    collect_time : timedelta
        Minimum time between two messages with tokens to one peer; tokens produced
        meanwhile are sent together.
    stream_buffer : int
        Maximum number of tokens buffered for one stream for lack of credit or
        connection.
    poll_interval : timedelta
        Interval of polls of the backend server.
    poll_interval_down : timedelta
        Interval of polls of an engine after a failed poll.
    report_interval : timedelta
        Minimum interval of reports to one peer if the state changed.
    report_interval_idle : timedelta
        Interval of reports to one peer if the state didn't change.
    report_bytes : int
        Maximum bytes of reports sent a second to all peers together.
    drain_time : timedelta
        Time for which a drain waits for running requests.
    attempt_memory : timedelta
        Time for which an attempt is remembered after its last change of state.
    attempts_remembered : int
        Maximum number of remembered attempts.
    service_concurrency : int
        Maximum number of concurrent calls of a plain service.
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
