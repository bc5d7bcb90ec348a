"""Which entry processes were heard of lately."""

from datetime import timedelta

from .pacing import MIN_LIFETIME

# A peer that sent no message for this long is assumed to have ended. VMs are
# partitioned for shorter times, so a peer that still serves requests keeps its share.
PEER_EXPIRY = timedelta(minutes=10)


class PeerActivity:
    """Track when the registered peers of an entry process were last heard.

    A silent peer may have ended, or it may be partitioned from this process and still
    serve requests. Limits that hold for all processes together are therefore divided:
    the processes that hear one another use the share of their group.
    """

    def __init__(self):
        self._last_received = {}
        self._timeout = MIN_LIFETIME

    @property
    def count(self):
        """Number of registered peers."""
        return len(self._last_received)

    def set_peers(self, peers, timeout, now):
        """Set the registered peers; a new one counts as heard.

        Parameters
        ----------
        peers : list of str
            IP addresses of all registered peers.
        timeout : timedelta
            Time without a message after which a peer is silent.
        now : timedelta
            Monotonic time.

        Returns
        -------
        set of str
            IP addresses of those that are registered no longer.
        """
        self._timeout = timeout
        for peer in peers:
            self._last_received.setdefault(peer, now)
        removed = set(self._last_received) - set(peers)
        for peer in removed:
            del self._last_received[peer]
        return removed

    def record_message(self, peer, now):
        """Record a message of a peer (IP address) at a monotonic time."""
        self._last_received[peer] = now

    def list_registered(self):
        """Return the IP addresses of all registered peers, heard or not."""
        return list(self._last_received)

    def list_heard(self, now):
        """Return the IP addresses of the peers that are not silent."""
        return [
            peer
            for peer, received_at in self._last_received.items()
            if now - received_at <= self._timeout
        ]

    def list_expired(self, now):
        """Return the IP addresses of the peers that are assumed to have ended."""
        return [
            peer
            for peer, received_at in self._last_received.items()
            if now - received_at > PEER_EXPIRY
        ]

    def count_silent(self, now):
        """Return the number of peers that are silent but may still serve requests."""
        silences = [now - received_at for received_at in self._last_received.values()]
        return sum(self._timeout < each < PEER_EXPIRY for each in silences)

    def compute_share(self, now):
        """Return the share of common limits that this process's group uses, 0 to 1."""
        return 1 - self.count_silent(now) / (self.count + 1)
