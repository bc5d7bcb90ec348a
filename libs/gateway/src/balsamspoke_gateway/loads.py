"""How long a request would wait at a replica."""

from dataclasses import dataclass
from datetime import timedelta

# Reading speed assumed until answers tell it, in seconds for each prompt token.
INITIAL_SECONDS_PER_TOKEN = 1 / 30_000
# Weight of one answer in the running estimate.
ESTIMATE_WEIGHT = 0.05
# Estimates outside of these say more about a fault than about an engine's speed.
MIN_SECONDS_PER_TOKEN = 1 / 200_000
MAX_SECONDS_PER_TOKEN = 1 / 2_000
# Below this a first event's time is mostly the engine's step, not its reading.
MIN_SAMPLE_TOKENS = 1_000


@dataclass(slots=True)
class ReplicaLoad:
    """What this process knows of one replica's load.

    Attributes
    ----------
    in_flight : int
        This process's requests there.
    unread_tokens : int
        Prompt tokens of those that have no first event yet.
    others_unread_tokens : int
        The same of all other processes, as the side process told.
    seconds_per_token : float
        Estimated from answers.
    """

    in_flight: int = 0
    unread_tokens: int = 0
    others_unread_tokens: int = 0
    others_in_flight: int = 0
    seconds_per_token: float = INITIAL_SECONDS_PER_TOKEN

    def predict_wait(self, tokens):
        """Return a timedelta until the first event of a prompt sent now."""
        backlog = self.unread_tokens + self.others_unread_tokens + tokens
        return timedelta(seconds=backlog * self.seconds_per_token)

    def record_first_event(self, backlog, waited):
        """Take the time (timedelta) to a first event behind a backlog of tokens."""
        if backlog < MIN_SAMPLE_TOKENS:
            return
        sample = waited.total_seconds() / backlog
        sample = min(MAX_SECONDS_PER_TOKEN, max(MIN_SECONDS_PER_TOKEN, sample))
        self.seconds_per_token += ESTIMATE_WEIGHT * (sample - self.seconds_per_token)
