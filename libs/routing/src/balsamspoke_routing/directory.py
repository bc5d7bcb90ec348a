"""Directory of the replicas that an entry process can send requests to."""

from dataclasses import dataclass
from datetime import timedelta

from balsamspoke_types.identifiers import ProcessId

from .exceptions import UnknownReplica
from .policies import AdapterAffinity
from .replicas import Replica, ReplicaPool
from .settings import DirectorySettings


@dataclass(frozen=True, slots=True)
class ReplicaDescription:
    """Snapshot of a replica's state, shown on the status page.

    Attributes
    ----------
    peer : ProcessId
        The side process of the replica.
    service : str
        Name of the model or plain service that it serves.
    failure_domain : str
        Failure domain of its VM.
    usable : bool
        Whether new attempts may be sent to it.
    leaving : bool
        Whether the side process or its VM is being stopped as planned.
    outstanding : int
        Attempts of this process that have not ended.
    load : float
        Estimated load in batches.
    report_age : timedelta or None
        Time since the last report; None if there was none.
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
    """Choose replicas by membership, load reports and outstanding attempts.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    random_source : random.Random
        Source of the random samples of the default policy.
    settings : DirectorySettings or None
        Load and affinity parameters; the defaults if None.
    policy : RoutingPolicy or None
        Routing policy; AdapterAffinity if None.
    """

    def __init__(self, clock, random_source, settings=None, policy=None):
        self._clock = clock
        self._settings = settings or DirectorySettings()
        self._policy = policy or AdapterAffinity(random_source, self._settings)
        self._pools = {}
        self._replicas = {}
        self._connected = set()

    def set_entry_count(self, count):
        """Set the number of entry processes that share the requests."""
        self._policy.entry_count = max(1, count)

    def update_member(self, peer, service, failure_domain, live, leaving):
        """Add or update a side process from its membership state.

        Parameters
        ----------
        peer : ProcessId
            The side process.
        service : str
            Name of the model or plain service that it serves.
        failure_domain : str
            Failure domain of its VM.
        live : bool
            Whether membership considers the process live.
        leaving : bool
            Whether the process or its VM is being stopped as planned.
        """
        replica = self._replicas.get(peer)
        if replica is not None and replica.service != service:
            self.remove_member(peer)
            replica = None
        if replica is None:
            replica = Replica(peer, service)
            replica.is_connected = peer in self._connected
            self._replicas[peer] = replica
            self._get_or_create_pool(service).add(replica)
        replica.failure_domain = failure_domain
        if (replica.is_live, replica.is_leaving) != (live, leaving):
            replica.is_live = live
            replica.is_leaving = leaving
            self._pools[service].invalidate_usable()

    def remove_member(self, peer):
        """Remove a side process; an unknown one is ignored."""
        replica = self._replicas.pop(peer, None)
        if replica is not None:
            self._pools[replica.service].remove(peer)

    def set_connected(self, peer, connected):
        """Set whether a side process is connected, also before it is a member."""
        if connected:
            self._connected.add(peer)
        else:
            self._connected.discard(peer)
        replica = self._replicas.get(peer)
        if replica is not None and replica.is_connected != connected:
            replica.is_connected = connected
            self._pools[replica.service].invalidate_usable()

    def store_report(self, peer, report):
        """Store a ReplicaReport, unless a newer one was received before."""
        replica = self._replicas.get(peer)
        if replica is None or report.service != replica.service:
            return
        previous = replica.report
        if previous is not None and report.sequence <= previous.sequence:
            return
        replica.report = report
        replica.reported_at = self._clock.monotonic()
        replica.outstanding_at_report = replica.outstanding
        if previous is None or previous.adapters != report.adapters:
            replica.resident_adapters = frozenset(report.adapters)
        if previous is None or previous.accepting != report.accepting:
            self._pools[replica.service].invalidate_usable()

    def count_sent_attempt(self, peer):
        """Count an attempt that is being sent to a side process."""
        replica = self._replicas.get(peer)
        if replica is not None:
            replica.outstanding += 1

    def count_ended_attempt(self, peer):
        """Stop counting an attempt that has ended at a side process."""
        replica = self._replicas.get(peer)
        if replica is not None and replica.outstanding > 0:
            replica.outstanding -= 1

    def is_queueing(self, peer):
        """Return whether a side process is live and reports queued requests."""
        replica = self._replicas.get(peer)
        if replica is None or replica.report is None or not replica.is_live:
            return False
        return replica.report.queued > 0

    def choose(self, service, adapter=None, excluded=frozenset()):
        """Choose the replica for a request.

        Parameters
        ----------
        service : str
            Name of the model or plain service.
        adapter : AdapterRef or None
            Adapter that the request needs; None if it needs none.
        excluded : frozenset of ProcessId
            Replicas that must not be chosen.

        Returns
        -------
        ProcessId or None
            The side process; None if no usable replica remains.
        """
        pool = self._pools.get(service)
        if pool is None:
            return None
        now = self._clock.monotonic()
        replica = self._policy.choose(pool, adapter, frozenset(excluded), now)
        return None if replica is None else replica.peer

    def describe(self, peer=None):
        """Return the ReplicaDescription of one replica, or a tuple of all.

        Parameters
        ----------
        peer : ProcessId or None
            Side process of the replica; None for all replicas.

        Raises
        ------
        UnknownReplica
            If the directory has no replica of that side process.
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
            usable=replica.is_usable,
            leaving=replica.is_leaving,
            outstanding=replica.outstanding,
            load=self._pools[replica.service].get_load(replica, now),
            report_age=age,
        )

    def _get_or_create_pool(self, service):
        if service not in self._pools:
            self._pools[service] = ReplicaPool(self._settings)
        return self._pools[service]
