"""An exact check of admissions against rates and bursts, over every window."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class Admission:
    """Tokens used by one request, at the time at which it was admitted."""

    at: timedelta
    used: float


@dataclass(frozen=True, slots=True)
class LimitChange:
    """Limits in force from a time on."""

    at: timedelta
    rate: float
    burst: float


@dataclass(frozen=True, slots=True)
class Excess:
    """A window that ends at a time and has that many tokens too many."""

    until: timedelta
    tokens: float


def find_excess(admissions, changes):
    """Return the worst Excess of any window, or None.

    In a window, the tokens used are at most the integral of the rate plus the
    largest burst in force in it. Takes O(n log n) for each different burst.

    Parameters
    ----------
    admissions : iterable of Admission
        In any order.
    changes : list of LimitChange
        By time; the first is in force before every admission.
    """
    ordered = sorted(admissions, key=lambda admission: admission.at)
    worst = None
    for burst in {change.burst for change in changes}:
        for run in _find_runs(changes, burst):
            found = _find_excess_in(ordered, changes, run, burst)
            if found and (worst is None or found.tokens > worst.tokens):
                worst = found
    return worst


def _find_runs(changes, burst):
    """Give open spans of time in which no burst over one is in force."""
    start = None
    for change in changes:
        if change.burst <= burst:
            start = change.at if start is None else start
        elif start is not None:
            yield start, change.at
            start = None
    if start is not None:
        yield start, timedelta.max


def _find_excess_in(ordered, changes, run, burst):
    worst = None
    debt = 0.0
    last = run[0]
    is_first = run[0] == changes[0].at
    for admission in ordered:
        after_start = admission.at > run[0] or (is_first and admission.at == run[0])
        if not after_start or admission.at >= run[1]:
            continue
        debt = max(0.0, debt - _integrate(changes, last, admission.at))
        debt += admission.used
        last = admission.at
        excess = debt - burst
        if excess > 1e-6 and (worst is None or excess > worst.tokens):
            worst = Excess(admission.at, excess)
    return worst


def _integrate(changes, start, end):
    total = 0.0
    for index, change in enumerate(changes):
        later = changes[index + 1].at if index + 1 < len(changes) else timedelta.max
        span = min(end, later) - max(start, change.at)
        if span > timedelta(0):
            total += change.rate * span.total_seconds()
    return total
