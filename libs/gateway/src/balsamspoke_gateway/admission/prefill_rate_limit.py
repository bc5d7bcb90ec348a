"""Rate limit on the prompt tokens that a replica is sent."""

from dataclasses import dataclass
from datetime import timedelta

# Fraction of the interval between two events that prefill may take; the rest covers
# the differences between estimated and real prefill times.
USABLE_INTERVAL_RATIO = 0.88


@dataclass(frozen=True, slots=True)
class PrefillRateLimit:
    """Prompt tokens that a replica may be sent in a sliding window.

    Between two events of a stream, the replica must not prefill more tokens than it can
    within the longest interval that the stream's route allows.

    Attributes
    ----------
    window : timedelta
        Length of the window; the longest interval between two events of a stream.
    tokens : float
        Tokens that may be sent in any window.
    """

    window: timedelta
    tokens: float

    @classmethod
    def compute(cls, max_event_interval, seconds_per_token):
        """Return the rate limit for an event interval and a prefill speed.

        Parameters
        ----------
        max_event_interval : timedelta
            Longest interval between two events of a stream.
        seconds_per_token : float
            Time to prefill a token.
        """
        usable_time = USABLE_INTERVAL_RATIO * max_event_interval.total_seconds()
        return cls(max_event_interval, usable_time / seconds_per_token)

    def compute_duration(self, tokens):
        """Return the timedelta in which a number of tokens may be sent."""
        return self.window * (tokens / self.tokens)
