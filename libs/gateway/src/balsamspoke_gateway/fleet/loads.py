"""Estimates of the waiting time at a replica."""

from dataclasses import dataclass, field
from datetime import timedelta
from itertools import chain

from ..scheduling.backlogs import (
    PriorityBacklog,
    UnreadPrompts,
    count_tokens_ahead,
)

# Time to read a prompt token that is assumed before the first measurement.
INITIAL_SECONDS_PER_TOKEN = 1 / 30_000
# Weight of a new sample in the exponential moving average.
ESTIMATE_WEIGHT = 0.05
# Samples are clamped to these bounds; beyond them they indicate a fault rather than an
# engine's speed.
MIN_SECONDS_PER_TOKEN = 1 / 200_000
MAX_SECONDS_PER_TOKEN = 1 / 2_000
# With a smaller backlog, the time to the first event is mostly the engine's step rather
# than the reading of prompts.
MIN_SAMPLE_TOKENS = 1_000


@dataclass(slots=True)
class ReplicaLoad:
    """Load of a replica as seen by this process.

    Attributes
    ----------
    in_flight : int
        Requests of this process at the replica.
    unread_tokens : int
        Prompt tokens of those of its requests that have no first event yet.
    others_unread_tokens : int
        Unread prompt tokens of all other processes, as the side process reported.
    others_in_flight : int
        Requests of all other processes, from the side process or the last answer.
    seconds_per_token : float
        Estimated time to read a prompt token, without the slowdown.
    queued_tokens : int
        Prompt tokens of this process that wait for admission at the side process.
    reported_queued_tokens : int
        Prompt tokens of all processes that wait there, as the side process reported.
    slowdown : float
        Time that work takes at the replica, as a multiple of the usual time.
    stated_at : timedelta or None
        Monotonic time at which an answer last stated the replica's load.
    unread_prompts : UnreadPrompts
        Those of this process's unread prompts whose priority is known.
    others_unread_prompts : tuple of PriorityBacklog
        The same of all other processes, as the side process reported.
    """

    in_flight: int = 0
    unread_tokens: int = 0
    others_unread_tokens: int = 0
    others_in_flight: int = 0
    seconds_per_token: float = INITIAL_SECONDS_PER_TOKEN
    queued_tokens: int = 0
    reported_queued_tokens: int = 0
    slowdown: float = 1.0
    stated_at: timedelta | None = None
    unread_prompts: UnreadPrompts = field(default_factory=UnreadPrompts)
    others_unread_prompts: tuple[PriorityBacklog, ...] = ()

    def count_requests(self):
        """Return the requests of all processes at the replica, as far as is known."""
        return self.in_flight + self.others_in_flight

    def count_unread_tokens(self, priority=None):
        """Return the prompt tokens that the replica reads before a request sent now.

        Parameters
        ----------
        priority : int or None
            Priority of the request; None if all prompts are read before it.
        """
        backlogs = chain(self.unread_prompts, self.others_unread_prompts)
        total = self.unread_tokens + self.others_unread_tokens
        return count_tokens_ahead(backlogs, total, priority)

    def predict_wait(self, tokens, priority=None):
        """Return the timedelta until the first event of a prompt sent now.

        Parameters
        ----------
        tokens : int
            Length of the prompt, without the part that the replica has read already.
        priority : int or None
            Priority of the request; None if all other prompts are read before it.
        """
        backlog = self.count_unread_tokens(priority) + tokens
        backlog += max(self.queued_tokens, self.reported_queued_tokens)
        return timedelta(seconds=backlog * self.seconds_per_token * self.slowdown)

    def record_first_event(self, backlog, waited):
        """Update the usual reading speed from the wait for a first event.

        Parameters
        ----------
        backlog : int
            Unread prompt tokens at the replica when the request was sent.
        waited : timedelta
            Time from then until the first event.
        """
        if backlog < MIN_SAMPLE_TOKENS:
            return
        sample = waited.total_seconds() / (backlog * self.slowdown)
        sample = min(MAX_SECONDS_PER_TOKEN, max(MIN_SECONDS_PER_TOKEN, sample))
        self.seconds_per_token += ESTIMATE_WEIGHT * (sample - self.seconds_per_token)
