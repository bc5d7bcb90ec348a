"""Choice of the process that issues the permits for a replica."""

from datetime import timedelta

from ..rendezvous import compute_weight

# Consecutive requests without a reply after which another process is asked, for a time
# that lets this process learn whether the one before has ended.
MAX_UNANSWERED = 3
FAILOVER_TIME = timedelta(seconds=2)


class IssuerSelection:
    """Choose the issuer of each replica's permits among the entry processes.

    The choice is by rendezvous hashing, so that all processes that hear one another
    agree on it, and it changes only if the issuer itself comes or goes.

    Parameters
    ----------
    own_ip : str
        IP address of this process.
    activity : PeerActivity
        When the peers were last heard.
    """

    def __init__(self, own_ip, activity):
        self._own_ip = own_ip
        self._activity = activity
        self._unanswered = {}
        self._avoided_until = {}

    def choose(self, replica_id, now):
        """Return the IP address of the issuer for a replica at a monotonic time."""
        heard = self._activity.list_heard(now)
        usable = [each for each in heard if not self._is_avoided(each, now)]
        return max(
            [self._own_ip, *usable],
            key=lambda ip: compute_weight(replica_id, ip),
        )

    def is_first_choice(self, replica_id):
        """Return whether this process issues a replica's permits if all are in touch.

        Any other process issues them only while some processes don't hear the first
        choice, which may go on issuing.
        """
        own_weight = compute_weight(replica_id, self._own_ip)
        return all(
            compute_weight(replica_id, ip) <= own_weight
            for ip in self._activity.list_registered()
        )

    def compute_share(self, now):
        """Return the share of a limit that this process's group issues, 0 to 1.

        Peers that leave requests for permits unanswered count as silent, long before
        their other messages are missed.
        """
        heard = self._activity.list_heard(now)
        avoided = sum(self._is_avoided(each, now) for each in heard)
        return self._activity.compute_share(now) - avoided / (self._activity.count + 1)

    def record_reply(self, ip):
        """Record that a process has replied."""
        self._unanswered.pop(ip, None)

    def record_silence(self, ip, now):
        """Record that a process has not replied in time."""
        count = self._unanswered[ip] = self._unanswered.get(ip, 0) + 1
        if count >= MAX_UNANSWERED:
            self._avoided_until[ip] = now + FAILOVER_TIME
            del self._unanswered[ip]

    def _is_avoided(self, ip, now):
        until = self._avoided_until.get(ip)
        if until is None:
            return False
        if now >= until:
            del self._avoided_until[ip]
            return False
        return True
