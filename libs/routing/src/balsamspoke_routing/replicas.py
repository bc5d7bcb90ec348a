"""What an entry process knows of the replicas of one service."""

import xxhash

from .rankings import RendezvousRankings


class Replica:
    """One replica: membership, its last report and this process's own work there.

    Attributes
    ----------
    peer : ProcessId
        The side process.
    failure_domain : str
        Where it is.
    live, leaving, connected : bool
        What membership and transport say.
    outstanding : int
        Attempts of this process that have not ended.
    """

    __slots__ = (
        "_hash_seed",
        "connected",
        "failure_domain",
        "leaving",
        "live",
        "outstanding",
        "outstanding_at_report",
        "peer",
        "report",
        "reported_at",
        "resident",
        "service",
    )

    def __init__(self, peer, service):
        self.peer = peer
        self.service = service
        self.failure_domain = ""
        self.live = False
        self.leaving = False
        self.connected = False
        self.report = None
        self.reported_at = None
        self.outstanding = 0
        self.outstanding_at_report = 0
        self.resident = frozenset()
        # By VM: an engine keeps its adapters when only its side process restarts.
        self._hash_seed = xxhash.xxh64_intdigest(peer.vm.encode())

    @property
    def usable(self):
        """Whether new work may be sent to it."""
        accepting = self.report is None or self.report.accepting
        return self.live and self.connected and not self.leaving and accepting

    def score(self, key):
        """Return its rank among the replicas for some bytes; the highest wins."""
        return xxhash.xxh64_intdigest(key, self._hash_seed)

    def get_load(self, now, half_life, default_batch_size):
        """Return its load in batches, discounted by the age of its report."""
        if self.report is None:
            return self.outstanding / default_batch_size
        reported = self.report.running + self.report.queued
        others = max(0, reported - self.outstanding_at_report)
        age = (now - self.reported_at) / half_life
        return (others * 0.5**age + self.outstanding) / max(1, self.report.batch_size)


class ReplicaPool:
    """The replicas of one service, and their ranking for each group of adapters.

    Parameters
    ----------
    settings : DirectorySettings
        Bounds.
    """

    def __init__(self, settings):
        self.settings = settings
        self.replicas = {}
        self._usable = None
        # Some beyond the greatest width, for those that are unusable or busy.
        length = 2 * settings.maximum_width
        self._rankings = RendezvousRankings(settings.hash_buckets, length)

    def add(self, replica):
        """Take a replica in."""
        self.replicas[replica.peer] = replica
        self._rankings.add(replica)
        self._usable = None

    def remove(self, peer):
        """Drop a replica."""
        del self.replicas[peer]
        self._rankings.remove(peer)
        self._usable = None

    def note_change(self):
        """Note that a replica may have become usable or unusable."""
        self._usable = None

    def get_usable(self):
        """Return the list of usable replicas; not to be changed."""
        if self._usable is None:
            self._usable = [found for found in self.replicas.values() if found.usable]
        return self._usable

    def get_load(self, replica, now):
        """Return the load of a replica in batches."""
        settings = self.settings
        return replica.get_load(
            now, settings.report_half_life, settings.default_batch_size
        )

    def get_ranking(self, adapter):
        """Return the first replicas for an adapter, as pairs of score and replica."""
        return self._rankings.get(adapter)
