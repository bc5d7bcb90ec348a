"""How often processes tell each other what they know, by the size of the fleet."""

from datetime import timedelta

# What a process sends to all of its partners costs it at most this part of a core:
# one message takes about a tenth of a millisecond at each end.
INTERVAL_PER_RECIPIENT = timedelta(milliseconds=15)
MIN_INTERVAL = timedelta(milliseconds=200)
# What was told counts until this many messages are overdue.
MAX_MISSED_MESSAGES = 3
MIN_LIFETIME = timedelta(seconds=1)


def choose_interval(recipients):
    """Return the timedelta between two messages to each of so many partners."""
    return max(MIN_INTERVAL, recipients * INTERVAL_PER_RECIPIENT)


def choose_lifetime(interval):
    """Return how long a message counts whose successor is due after an interval."""
    return max(MIN_LIFETIME, MAX_MISSED_MESSAGES * interval)
