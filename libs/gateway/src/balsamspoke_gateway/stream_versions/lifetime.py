"""How long after its start a stream may be resumed."""

from datetime import timedelta

# Shortest lifetime.
MIN_LIFETIME = timedelta(seconds=30)
# Longest one, whatever callers state.
MAX_LIFETIME = timedelta(minutes=5)
# A caller that resumes a stream may have waited for the route's timeout once before.
LIFETIME_TIMEOUTS = 2


class StreamLifetime:
    """The longest time after which a caller of this process may resume its stream.

    Streams that began under an earlier configuration have its longer timeouts, and a
    caller may state more patience than its route has. So the lifetime only grows, by
    doubling.

    Attributes
    ----------
    value : timedelta
        The lifetime.
    """

    def __init__(self):
        self.value = MIN_LIFETIME

    def include_timeout(self, timeout):
        """Cover the streams of routes with a timeout (timedelta)."""
        self.include(LIFETIME_TIMEOUTS * timeout)

    def include(self, patience):
        """Cover a caller that waits for a timedelta in all."""
        while self.value < min(patience, MAX_LIFETIME):
            self.value = min(2 * self.value, MAX_LIFETIME)
