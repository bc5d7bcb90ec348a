"""Waiting, by the clock port."""

from twisted.internet.defer import Deferred


def pause(clock, delay):
    """Return a Deferred that fires after a timedelta."""
    over = Deferred()
    clock.call_later(delay, over.callback, None)
    return over
