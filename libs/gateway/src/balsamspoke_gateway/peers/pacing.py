"""Intervals of the messages between processes, by the number of recipients."""

from datetime import timedelta

# A message takes about a tenth of a millisecond of CPU at each end, so this bounds the
# fraction of a core that a process spends on messages to any number of recipients.
INTERVAL_PER_RECIPIENT = timedelta(milliseconds=15)
MIN_INTERVAL = timedelta(milliseconds=200)
# A message is valid until this many successors are overdue.
MAX_MISSED_MESSAGES = 3
MIN_LIFETIME = timedelta(seconds=1)


def choose_interval(recipients):
    """Return the timedelta between messages to each of a number of recipients."""
    return max(MIN_INTERVAL, recipients * INTERVAL_PER_RECIPIENT)


def choose_lifetime(interval):
    """Return how long a message is valid if its successor is due after an interval."""
    return max(MIN_LIFETIME, MAX_MISSED_MESSAGES * interval)
