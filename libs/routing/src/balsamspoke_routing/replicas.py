"""Replicas of one service, as an entry process sees them."""

import xxhash

from .rankings import RendezvousRankings


class Replica:
    """A replica's membership state, last report and attempts from this process.

    Parameters
    ----------
    peer : ProcessId
        The side process of the replica.
    service : str
        Name of the model or plain service that it serves.

    Attributes
    ----------
    peer : ProcessId
        The side process of the replica.
    service : str
        Name of the model or plain service that it serves.
    failure_domain : str
        Failure domain of its VM.
    is_live : bool
        Whether membership considers the side process live.
    is_leaving : bool
        Whether the side process or its VM is being stopped as planned.
    is_connected : bool
        Whether the transport has a connection to the side process.
    report : ReplicaReport or None
        Last report; None until the first arrives.
    reported_at : timedelta or None
        Monotonic time at which ``report`` arrived.
    outstanding : int
        Attempts of this process that have not ended.
    outstanding_at_report : int
        Value of ``outstanding`` when ``report`` arrived.
    resident_adapters : frozenset of AdapterRef
        Adapters that the last report lists as loaded.
    """

    __slots__ = (
        "_hash_seed",
        "failure_domain",
        "is_connected",
        "is_leaving",
        "is_live",
        "outstanding",
        "outstanding_at_report",
        "peer",
        "report",
        "reported_at",
        "resident_adapters",
        "service",
    )

    def __init__(self, peer, service):
        self.peer = peer
        self.service = service
        self.failure_domain = ""
        self.is_live = False
        self.is_leaving = False
        self.is_connected = False
        self.report = None
        self.reported_at = None
        self.outstanding = 0
        self.outstanding_at_report = 0
        self.resident_adapters = frozenset()
        # Hash the VM only: the engine keeps its adapters when just the side process
        # restarts, so the ranking must not change then.
        self._hash_seed = xxhash.xxh64_intdigest(peer.vm.encode())

    @property
    def is_usable(self):
        """Whether new attempts may be sent to the replica."""
        accepting = self.report is None or self.report.accepting
        return self.is_live and self.is_connected and not self.is_leaving and accepting

    def score(self, key):
        """Return the rendezvous hash for a key of bytes; the highest ranks first."""
        return xxhash.xxh64_intdigest(key, self._hash_seed)

    def get_load(self, now, half_life, default_batch_size):
        """Return the load in batches.

        The load is this process's outstanding attempts plus the requests of other
        entry processes in the last report; the latter decay with the report's age.

        Parameters
        ----------
        now : timedelta
            Monotonic time.
        half_life : timedelta
            Report age at which the requests of other processes count half.
        default_batch_size : int
            Batch size to assume before the first report.
        """
        if self.report is None:
            return self.outstanding / default_batch_size
        reported = self.report.running + self.report.queued
        other_requests = max(0, reported - self.outstanding_at_report)
        half_lives = (now - self.reported_at) / half_life
        return (other_requests * 0.5**half_lives + self.outstanding) / max(
            1, self.report.batch_size
        )


class ReplicaPool:
    """The replicas of one service, and their rankings for the adapters.

    Parameters
    ----------
    settings : DirectorySettings
        Default batch size, report half-life and sizes of the rankings.

    Attributes
    ----------
    settings : DirectorySettings
        The settings passed in.
    replicas : dict of ProcessId to Replica
        All replicas of the service, usable or not.
    """

    def __init__(self, settings):
        self.settings = settings
        self.replicas = {}
        self._usable = None
        # Twice the maximum spread, to leave alternatives to unusable or busy replicas.
        length = 2 * settings.maximum_spread
        self._rankings = RendezvousRankings(settings.hash_buckets, length)

    def add(self, replica):
        """Add a replica to the pool and its rankings."""
        self.replicas[replica.peer] = replica
        self._rankings.add(replica)
        self._usable = None

    def remove(self, peer):
        """Remove the replica of a ProcessId from the pool and its rankings."""
        del self.replicas[peer]
        self._rankings.remove(peer)
        self._usable = None

    def invalidate_usable(self):
        """Discard the cached list of usable replicas after a state change."""
        self._usable = None

    def get_usable(self):
        """Return the cached list of usable replicas; callers must not modify it."""
        if self._usable is None:
            self._usable = [
                replica for replica in self.replicas.values() if replica.is_usable
            ]
        return self._usable

    def get_load(self, replica, now):
        """Return the load of a replica in batches at a monotonic time."""
        settings = self.settings
        return replica.get_load(
            now, settings.report_half_life, settings.default_batch_size
        )

    def get_ranking(self, adapter):
        """Return the best replicas for an adapter as (score, Replica) pairs."""
        return self._rankings.get(adapter)
