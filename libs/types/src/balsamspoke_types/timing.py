"""Delays and timeouts of Deferreds on a Clock."""

from datetime import timedelta

from twisted.internet.defer import CancelledError, Deferred


def add_timeout(deferred, clock, delay, error):
    """Cancel a Deferred when a timeout expires.

    Parameters
    ----------
    deferred : Deferred
        The operation.
    clock : Clock
        Clock that measures the delay.
    delay : timedelta
        Time limit; one below zero counts as zero.
    error : Exception
        Exception that the Deferred fails with after the timeout.

    Returns
    -------
    Deferred
        ``deferred`` itself.
    """
    has_expired = False

    def expire():
        nonlocal has_expired
        has_expired = True
        deferred.cancel()

    timer = clock.call_later(max(delay, timedelta(0)), expire)

    def handle_result(result):
        timer.cancel()
        if (
            has_expired
            and getattr(result, "check", None)
            and result.check(CancelledError)
        ):
            raise error
        return result

    return deferred.addBoth(handle_result)


def sleep(clock, delay):
    """Return a Deferred of None that fires after a timedelta."""
    sleeping = Deferred(lambda _: timer.cancel())
    timer = clock.call_later(delay, sleeping.callback, None)
    return sleeping
