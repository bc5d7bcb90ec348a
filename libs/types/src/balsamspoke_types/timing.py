"""Waiting and time limits of Deferreds, on a Clock."""

from datetime import timedelta

from twisted.internet.defer import CancelledError, Deferred


def limit(deferred, clock, delay, error):
    """Cancel a Deferred after a timedelta; it then fails with an exception.

    Returns
    -------
    Deferred
        The same one.
    """
    is_over = False

    def end():
        nonlocal is_over
        is_over = True
        deferred.cancel()

    timer = clock.call_later(max(delay, timedelta(0)), end)

    def stop(result):
        timer.cancel()
        if is_over and getattr(result, "check", None) and result.check(CancelledError):
            raise error
        return result

    return deferred.addBoth(stop)


def sleep(clock, delay):
    """Return a Deferred of None that is called back after a timedelta."""
    waiter = Deferred(lambda _: timer.cancel())
    timer = clock.call_later(delay, waiter.callback, None)
    return waiter
