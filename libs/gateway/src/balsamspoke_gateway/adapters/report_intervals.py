"""Intervals at which a side process reads its replica's report."""

from datetime import timedelta

# Interval while no adapter is being loaded; calls within a VM are not billed.
IDLE_INTERVAL = timedelta(milliseconds=150)
# Interval while one is, as a fraction of the time since its load began. Requests wait
# for that fraction of the load's time longer than they have to, at most.
AGE_RATIO = 0.2
MIN_LOADING_INTERVAL = timedelta(milliseconds=15)
MAX_LOADING_INTERVAL = timedelta(milliseconds=50)


def choose_report_interval(load_age):
    """Return the timedelta until the replica's report is read again.

    This handles rare adapters whose requests wait for a load that takes much of their
    latency objective: its end is known only by a report, so each interval adds to their
    time to the first event. A load from a copy takes a tenth of one from the store, so
    reports are read often at first.

    Parameters
    ----------
    load_age : timedelta or None
        Time since the latest load began; None if none is under way.
    """
    if load_age is None:
        return IDLE_INTERVAL
    return min(MAX_LOADING_INTERVAL, max(MIN_LOADING_INTERVAL, AGE_RATIO * load_age))
