"""Exact check of admissions against rate limits, over every time window."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class Admission:
    """An admitted request.

    Attributes
    ----------
    at : timedelta
        Time of the admission.
    used : float
        Tokens that the request used.
    """

    at: timedelta
    used: float


@dataclass(frozen=True, slots=True)
class LimitChange:
    """Limits that are in force until the next change.

    Attributes
    ----------
    at : timedelta
        Time from which the limits are in force.
    rate : float
        Tokens per second.
    burst : float
        Maximum tokens at once.
    """

    at: timedelta
    rate: float
    burst: float


@dataclass(frozen=True, slots=True)
class Excess:
    """A window in which more tokens were used than the limits allow.

    Attributes
    ----------
    until : timedelta
        End of the window.
    tokens : float
        Tokens over the limit.
    """

    until: timedelta
    tokens: float


def find_excess(admissions, changes):
    """Return the largest Excess of any window, or None.

    The tokens used in a window may not exceed the integral of the rate over it plus the
    largest burst in force in it. The cost is O(n log n) for each distinct burst.

    Parameters
    ----------
    admissions : iterable of Admission
        Admissions under the limits, in any order.
    changes : list of LimitChange
        Limits, ordered by time; the first is in force before all admissions.
    """
    ordered = sorted(admissions, key=lambda admission: admission.at)
    largest = None
    for burst in {change.burst for change in changes}:
        for interval in _find_intervals(changes, burst):
            found = _find_excess_in_interval(ordered, changes, interval, burst)
            if found and (largest is None or found.tokens > largest.tokens):
                largest = found
    return largest


def _find_intervals(changes, burst):
    """Yield the longest open intervals in which no burst over ``burst`` is in force.

    Each is a pair of start and end.
    """
    start = None
    for change in changes:
        if change.burst <= burst:
            start = change.at if start is None else start
        elif start is not None:
            yield start, change.at
            start = None
    if start is not None:
        yield start, timedelta.max


def _find_excess_in_interval(ordered, changes, interval, burst):
    largest = None
    level = 0.0
    last = interval[0]
    is_first = interval[0] == changes[0].at
    for admission in ordered:
        after_start = admission.at > interval[0] or (
            is_first and admission.at == interval[0]
        )
        if not after_start or admission.at >= interval[1]:
            continue
        level = max(0.0, level - _integrate(changes, last, admission.at))
        level += admission.used
        last = admission.at
        excess = level - burst
        if excess > 1e-6 and (largest is None or excess > largest.tokens):
            largest = Excess(admission.at, excess)
    return largest


def _integrate(changes, start, end):
    total = 0.0
    for index, change in enumerate(changes):
        next_change_at = (
            changes[index + 1].at if index + 1 < len(changes) else timedelta.max
        )
        span = min(end, next_change_at) - max(start, change.at)
        if span > timedelta(0):
            total += change.rate * span.total_seconds()
    return total
