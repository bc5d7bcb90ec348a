"""Whether a process that has just started knows as much as its peers."""

from datetime import timedelta

# Time within which a process hears from each of its peers.
HEARING_TIME = timedelta(seconds=1)
# Time after which a process relies on its own configuration even if a peer has a newer
# one: what the store lost should have been written again by then.
MAX_CATCH_UP_TIME = timedelta(seconds=30)


class CatchingUp:
    """Compare the configuration of a new process with that of its peers.

    This handles a start while the store shows an older copy of itself: keys that were
    withdrawn since would be accepted again. A process that has once caught up is not
    held back later, as it may then be cut off from the store.
    """

    def __init__(self):
        self._started_at = None
        self._peer_version = 0
        self._has_caught_up = False

    @property
    def peer_version(self):
        """Newest version of the configuration that a peer has."""
        return self._peer_version

    def start(self, now):
        """Record the start of the process at a monotonic time."""
        self._started_at = now

    def record_peer(self, peer_version, own_version, now):
        """Record the versions of the configuration at a peer and here; 0 for none."""
        self._peer_version = max(self._peer_version, peer_version)
        has_heard_all = now - self._started_at > HEARING_TIME
        if has_heard_all and own_version >= self._peer_version:
            self._has_caught_up = True

    def is_behind(self, own_version, now):
        """Return whether a peer has a newer configuration than a new process."""
        if self._has_caught_up or own_version >= self._peer_version:
            return False
        if now - self._started_at > MAX_CATCH_UP_TIME:
            self._has_caught_up = True
        return not self._has_caught_up
