"""Wait on the Clock port."""

from twisted.internet.defer import Deferred


def sleep(clock, delay):
    """Return a Deferred of None that fires after a timedelta."""
    woken = Deferred()
    clock.call_later(delay, woken.callback, None)
    return woken
