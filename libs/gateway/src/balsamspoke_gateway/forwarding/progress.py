"""Progress of one request over its attempts."""

from dataclasses import dataclass, field
from datetime import timedelta

from ..event_ids import EventId


@dataclass
class Progress:
    """State of a request that carries over from one attempt to the next.

    Attributes
    ----------
    excluded_replicas : set of str
        Ids of the replicas that the request is not sent to again.
    possible_runs : int
        Attempts in which the request may have run.
    failed_attempts : int
        Attempts that were sent and then refused by the replica, lost or overdue.
    last_event_id : EventId or None
        Id of the last stream event that the caller has.
    software_version : str or None
        Software version of the replica that began the stream, at which alone it may go
        on; None as long as there is no event.
    adapter_version : int or None
        Adapter version that the head of the answer states, at which alone the stream
        may go on within it; None without an adapter, or as long as there is no event.
    first_event_at : timedelta or None
        Monotonic time at which the first event was forwarded to the caller.
    awaited_replica : str or None
        Id of the replica at which the last wait for an adapter timed out.
    adapter_timeouts : int
        Consecutive waits for an adapter at that replica that timed out.
    is_scheduled : bool
        Whether the request counts in its team's work.
    is_resumption : bool
        Whether the caller resumes a stream that began in an earlier request.
    """

    excluded_replicas: set = field(default_factory=set)
    possible_runs: int = 0
    failed_attempts: int = 0
    last_event_id: EventId | None = None
    software_version: str | None = None
    adapter_version: int | None = None
    first_event_at: timedelta | None = None
    awaited_replica: str | None = None
    adapter_timeouts: int = 0
    is_scheduled: bool = False
    is_resumption: bool = False

    @property
    def is_accepted(self):
        """Whether the work was accepted before, so that it isn't refused for a wait."""
        return self.possible_runs > 0 or self.is_resumption

    @property
    def can_resume(self):
        """Whether a stream that has begun can be resumed after its last event.

        Only of ids that are numbers can be told whether an event is a later one.
        """
        last = self.last_event_id
        return last is not None and last.number is not None

    def record_adapter_timeout(self, replica_id):
        """Record that a replica had not loaded the adapter in time."""
        self.adapter_timeouts = (
            self.adapter_timeouts + 1 if replica_id == self.awaited_replica else 1
        )
        self.awaited_replica = replica_id
