"""Slowdowns as logarithms: half and double the usual time count alike."""

import math

# A replica that is slower or faster than this factor by its statement or by one sample
# stands still or answers from a cache, which says little of its speed.
MAX_LOG = math.log(8)
# What was learned may have to make up for a statement that isn't true.
MAX_LEARNED_LOG = 2 * MAX_LOG


def compute_log(slowdown, limit=MAX_LOG):
    """Return the logarithm of a slowdown within a limit; 0 if it has none."""
    # NaN fails the comparison too.
    return bound_log(math.log(slowdown), limit) if slowdown > 0 else 0.0


def bound_log(value, limit=MAX_LOG):
    """Return a logarithm of a slowdown within a limit in either direction."""
    return min(limit, max(-limit, value))


def remove_chance(value, band):
    """Return a logarithm as 0 within a band, and nearly unchanged far outside it."""
    if abs(value) <= band:
        return 0.0
    return value * (1 - (band / value) ** 2)
