"""The replicas that an entry process may choose among."""

from dataclasses import dataclass
from datetime import timedelta

from balsamspoke_types.identifiers import ProcessId

from .exceptions import UnknownReplica
from .policies import AdapterAffinity
from .popularity import AdapterPopularity
from .replicas import Replica, ReplicaPool
from .settings import DirectorySettings


@dataclass(frozen=True, slots=True)
class ReplicaDescription:
    """What the directory knows of a replica, for operators.

    Attributes
    ----------
    load : float
        In batches.
    report_age : timedelta or None
        None if it hasn't reported.
    """

    peer: ProcessId
    service: str
    failure_domain: str
    usable: bool
    leaving: bool
    outstanding: int
    load: float
    report_age: timedelta | None


class ReplicaDirectory:
    """Choose replicas by membership, reports and this process's own work.

    Parameters
    ----------
    clock : Clock
        Time.
    random_source : random.Random
        Draws the replicas that are compared.
    settings : DirectorySettings
        Bounds.
    policy : RoutingPolicy or None
        How to choose; adapter affinity if None.
    """

    def __init__(self, clock, random_source, settings=None, policy=None):
        self._clock = clock
        self._settings = settings or DirectorySettings()
        self._popularity = AdapterPopularity(
            self._settings.adapter_half_life, self._settings.followed_adapters
        )
        self._policy = policy or AdapterAffinity(
            random_source, self._settings, self._popularity
        )
        self._pools = {}
        self._replicas = {}
        self._connected = set()

    def set_entry_count(self, count):
        """Say how many entry processes share the load."""
        self._popularity.entry_count = max(1, count)

    def note_member(self, peer, service, failure_domain, live, leaving):
        """Note what membership says of a side process."""
        replica = self._replicas.get(peer)
        if replica is not None and replica.service != service:
            self.forget(peer)
            replica = None
        if replica is None:
            replica = Replica(peer, service)
            replica.connected = peer in self._connected
            self._replicas[peer] = replica
            self._get_pool(service).add(replica)
        replica.failure_domain = failure_domain
        if (replica.live, replica.leaving) != (live, leaving):
            replica.live = live
            replica.leaving = leaving
            self._pools[service].note_change()

    def forget(self, peer):
        """Drop a side process that is gone; does nothing if it isn't known."""
        replica = self._replicas.pop(peer, None)
        if replica is not None:
            self._pools[replica.service].remove(peer)

    def note_connection(self, peer, connected):
        """Note whether messages can be sent to a side process."""
        if connected:
            self._connected.add(peer)
        else:
            self._connected.discard(peer)
        replica = self._replicas.get(peer)
        if replica is not None and replica.connected != connected:
            replica.connected = connected
            self._pools[replica.service].note_change()

    def note_report(self, peer, report):
        """Take a ReplicaReport, unless it is older than the one that is there."""
        replica = self._replicas.get(peer)
        if replica is None or report.service != replica.service:
            return
        known = replica.report
        if known is not None and report.sequence <= known.sequence:
            return
        replica.report = report
        replica.reported_at = self._clock.monotonic()
        replica.outstanding_at_report = replica.outstanding
        if known is None or known.adapters != report.adapters:
            replica.resident = frozenset(report.adapters)
        if known is None or known.accepting != report.accepting:
            self._pools[replica.service].note_change()

    def note_sent(self, peer):
        """Count an attempt that is sent to a side process."""
        replica = self._replicas.get(peer)
        if replica is not None:
            replica.outstanding += 1

    def note_ended(self, peer):
        """Count the end of an attempt."""
        replica = self._replicas.get(peer)
        if replica is not None and replica.outstanding > 0:
            replica.outstanding -= 1

    def is_queueing(self, peer):
        """Tell whether a live side process reports that requests queue there."""
        replica = self._replicas.get(peer)
        if replica is None or replica.report is None or not replica.live:
            return False
        return replica.report.queued > 0

    def choose(self, service, adapter=None, excluded=frozenset()):
        """Choose the replica for a request.

        Parameters
        ----------
        service : str
            The model or plain service.
        adapter : AdapterRef or None
            What the request runs on.
        excluded : frozenset of ProcessId
            Replicas that must not be chosen.

        Returns
        -------
        ProcessId or None
            None if no usable replica is left.
        """
        pool = self._pools.get(service)
        if pool is None:
            return None
        now = self._clock.monotonic()
        replica = self._policy.choose(pool, adapter, frozenset(excluded), now)
        return None if replica is None else replica.peer

    def describe(self, peer=None):
        """Return a ReplicaDescription of one replica, or a tuple for all.

        Raises
        ------
        UnknownReplica
            If the one isn't known.
        """
        if peer is None:
            return tuple(map(self._describe, self._replicas.values()))
        if peer not in self._replicas:
            raise UnknownReplica(str(peer))
        return self._describe(self._replicas[peer])

    def _describe(self, replica):
        now = self._clock.monotonic()
        age = None if replica.report is None else now - replica.reported_at
        return ReplicaDescription(
            peer=replica.peer,
            service=replica.service,
            failure_domain=replica.failure_domain,
            usable=replica.usable,
            leaving=replica.leaving,
            outstanding=replica.outstanding,
            load=self._pools[replica.service].get_load(replica, now),
            report_age=age,
        )

    def _get_pool(self, service):
        if service not in self._pools:
            self._pools[service] = ReplicaPool(self._settings)
        return self._pools[service]
