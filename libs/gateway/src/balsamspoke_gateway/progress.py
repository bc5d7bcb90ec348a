"""How far one request has come."""

from dataclasses import dataclass, field
from datetime import timedelta


@dataclass(slots=True)
class Progress:
    """How far a request has come.

    Attributes
    ----------
    excluded : set of str
        Ids of replicas that it does not go to again.
    runs, tries : int
        Attempts that may have run, and all of them.
    last_event : int or None
        Id of the stream's last event that the caller has.
    first_event_at : timedelta or None
        When the first event went on to the caller.
    awaited : str or None
        Id of the replica where it last waited for an adapter in vain.
    waits : int
        How often it did, one time after the other.
    """

    excluded_replicas: set = field(default_factory=set)
    possible_runs: int = 0
    failed_attempts: int = 0
    last_event_id: int | None = None
    first_event_at: timedelta | None = None
    awaited_replica: str | None = None
    adapter_timeouts: int = 0

    def record_adapter_timeout(self, replica_id):
        """Take note that a replica had not loaded the adapter in time."""
        self.adapter_timeouts = (
            self.adapter_timeouts + 1 if replica_id == self.awaited_replica else 1
        )
        self.awaited_replica = replica_id
