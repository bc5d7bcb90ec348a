"""How often processes tell each other what they know, by the size of the fleet."""

from datetime import timedelta

# What a process sends to all of its partners costs it at most this part of a core:
# one message takes about a tenth of a millisecond at each end.
TIME_PER_PARTNER = timedelta(milliseconds=15)
LEAST_INTERVAL = timedelta(milliseconds=200)
# What was told counts until this many messages are overdue.
MESSAGES_MISSED = 3
LEAST_LIFETIME = timedelta(seconds=1)


def choose_interval(partners):
    """Return the timedelta between two messages to each of so many partners."""
    return max(LEAST_INTERVAL, partners * TIME_PER_PARTNER)


def choose_lifetime(interval):
    """Return how long a message counts whose successor is due after an interval."""
    return max(LEAST_LIFETIME, MESSAGES_MISSED * interval)
