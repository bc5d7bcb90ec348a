"""Part of the fleet's retry budget that one process may use."""

from dataclasses import dataclass

# Fraction of its part that a process uses.
STEADY_FRACTION = 0.55
# The same while an earlier process at its place may have used its own fraction in the
# current window, just before it ended. Both together leave a rest for requests that are
# spread unevenly over processes and time.
RESTARTED_FRACTION = 0.4


@dataclass(frozen=True, slots=True)
class RetryShare:
    """Part of the fleet's retry budget for a service that one process may use.

    Attributes
    ----------
    ratio : float
        Retries allowed per request of this process in a window.
    extra : float
        Retries allowed in a window in addition.
    """

    ratio: float
    extra: float


def compute_share(settings, age, standing):
    """Return the RetryShare of a process.

    The budget holds for any window, whichever processes end and start in it. Nothing
    that a process knows survives its end, so processes that follow one another within a
    window have one share together: a younger one uses a small fraction, and of
    ``retry_extra`` only as much of that as its age is of a window.

    Parameters
    ----------
    settings : GatewaySettings
        Bounds of the fleet's retries.
    age : timedelta
        Time since the process started.
    standing : Standing
        Place of the process among those that share ``retry_extra``.
    """
    extra = settings.retry_extra * _compute_part(standing)
    maturity = age / settings.retry_window
    if standing.may_follow_another and maturity < 1:
        ratio = RESTARTED_FRACTION * settings.retry_ratio
        return RetryShare(ratio, RESTARTED_FRACTION * maturity * extra)
    return RetryShare(STEADY_FRACTION * settings.retry_ratio, STEADY_FRACTION * extra)


def _compute_part(standing):
    """Return a process's part of what all processes share, from 0 to 1.

    Of processes that start together, each knows those that registered before it. The
    parts that they use until they know all add up to less than 1.
    """
    count = standing.processes
    if count is None:
        return 0.0
    return 1 / count if standing.is_settled else 1 / (count * (count + 1))
