"""What the times of an attempt show of its replica."""

from ..admission.late_events import is_late_event
from ..replica_speed.intervals import IntervalSampler


class AttemptMeasurements:
    """Learn from an attempt's times how long work takes at its replica.

    Parameters
    ----------
    forwarding : Forwarding
        The request.
    record : ReplicaRecord
        The replica.
    load : ReplicaLoad
        Its load as seen by this process.

    Attributes
    ----------
    backlog : int
        Prompt tokens known to be unread at the replica when the request was sent; those
        of the request itself are included.
    """

    def __init__(self, forwarding, record, load):
        self._forwarding = forwarding
        self._context = forwarding.context
        self._record = record
        self._load = load
        self._cached_tokens = 0
        self._running = 0
        self._intervals = IntervalSampler()
        self.backlog = 0

    def record_prompt(self, prompt, priority):
        """Record what is ahead of a Prompt that is sent now with a priority."""
        self.backlog = self._load.count_unread_tokens(priority)
        tracker = self._context.prefix_tracker
        self._cached_tokens = tracker.count_cached_tokens(prompt, self._record.id)
        self._running = self._load.count_requests()

    def record_first_event(self, waited):
        """Learn from the timedelta until a stream's first event.

        Urgent requests that come later go before a patient one, so its wait doesn't
        show the speed.
        """
        if not self._context.scheduling.is_most_urgent(self._forwarding):
            return
        tokens = max(1, self.backlog - self._cached_tokens)
        self._load.record_first_event(tokens, waited)
        speed = self._context.replica_speed
        speed.record_first_event(self._record, tokens, self._running, waited)

    def record_interval(self, interval):
        """Learn from the timedelta between two events of a stream.

        The later event counts as late if prefill may have delayed it.
        """
        route = self._forwarding.route
        sample = self._intervals.add(interval)
        if sample is not None:
            speed = self._context.replica_speed
            running = self._load.count_requests()
            speed.record_interval(self._record, route.name, running, sample)
        limit = route.max_event_interval
        if limit is not None and is_late_event(interval, limit):
            self._context.demands.record_late_event(self._record.id, limit)

    def record_whole_answer(self, answer, duration):
        """Learn from the timedelta until a complete answer (ReplicaAnswer)."""
        if answer.is_success and self._forwarding.request.prompt is None:
            route = self._forwarding.route.name
            speed = self._context.replica_speed
            speed.record_answer(self._record, route, answer.load, duration)
