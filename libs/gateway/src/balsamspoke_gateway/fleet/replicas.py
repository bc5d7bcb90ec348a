"""Replicas as listed in the platform's store, also during the store's outages."""

from collections import OrderedDict
from dataclasses import dataclass, field, replace
from datetime import timedelta

# Entries that expired during an outage of the store are written again within about two
# seconds after it recovers. A replica whose entry is missing counts as live until then.
RECOVERY_GRACE = timedelta(seconds=2.2)
# Replicas remembered to be leaving, and to be gone; the oldest is forgotten first.
MAX_REMEMBERED = 2_000


@dataclass(frozen=True, slots=True)
class HeldModel:
    """A base model that a replica holds.

    Attributes
    ----------
    name : str
        Name of the model.
    version : int
        Version of the model.
    adapters : dict
        Versions of its adapters at the replica, by name.
    """

    name: str
    version: int
    adapters: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ReplicaRecord:
    """One start of a replica, as registered in the store.

    Attributes
    ----------
    id : str
        Id that no other replica has; some restarts keep it.
    born : int
        Start time in milliseconds; distinguishes restarts that keep the id.
    service : str
        Name of the service.
    ip : str
        IP address of the replica.
    port : int
        Port of the replica.
    failure_domain : str
        Failure domain of the replica's VM.
    slots : int
        Requests that run at once.
    is_leaving : bool
        Whether the replica gets no new requests.
    models : tuple of HeldModel
        Models that it held when it last wrote its entry.
    software_version : str
        Version of its software; empty if not known. Several may serve side by side.
    cold_left : timedelta
        Time for which it stays cold, as of the writing of its entry.
    """

    id: str
    born: int
    service: str
    ip: str
    port: int
    failure_domain: str
    slots: int
    is_leaving: bool = False
    models: tuple[HeldModel, ...] = ()
    software_version: str = ""
    cold_left: timedelta = timedelta(0)

    @property
    def address(self):
        """IP address and port."""
        return (self.ip, self.port)


class ReplicaDirectory:
    """Directory of the replicas, kept up to date from the store.

    An entry is valid until its removal is read from the store, so it stays valid while
    the store is unreachable. A removal seen within ``RECOVERY_GRACE`` of the store's
    recovery may be an expiry that the replica is about to undo, so it takes effect only
    after that time. A later removal takes effect at once.

    A replica that is leaving stays so until it starts anew, whatever its entry says: an
    older copy of the entry may be read later.
    """

    def __init__(self):
        self._records = {}
        self._leaving = OrderedDict()
        self._gone = OrderedDict()
        self._by_service = {}
        self._versions = frozenset()
        self._missing = set()
        self._grace_until = None
        self._drained_domains = frozenset()
        self._drained_by_version = {}

    def record_store_recovery(self, now):
        """Record the time (monotonic timedelta) at which the store recovered."""
        self._grace_until = now + RECOVERY_GRACE

    @property
    def missing(self):
        """Ids (frozenset) of the replicas that stay in use without an entry."""
        return frozenset(self._missing)

    def find_grace_left(self, now):
        """Return the timedelta until missing entries count as removed."""
        return self._grace_until - now

    def is_recovering(self, now):
        """Return whether the store has recovered within ``RECOVERY_GRACE``."""
        return self._grace_until is not None and now < self._grace_until

    def restore(self, records, now):
        """Adopt the complete list of a store that was restored from an older copy.

        What the list shows is older than what is known here, and replicas write their
        entries anew within moments. So neither an entry that was removed is believed,
        nor an older start of a replica; an entry that is missing counts as removed only
        after ``RECOVERY_GRACE``.
        """
        self.record_store_recovery(now)
        self.replace_all([each for each in records if self._is_news(each)], now)

    def replace_all(self, records, now):
        """Replace all entries by a complete list of ReplicaRecords."""
        listed = {record.id: self._apply_leaving(record) for record in records}
        gone = set(self._records) - set(listed)
        self._missing -= set(listed)
        self._records.update(listed)
        for replica_id in gone:
            self._remove(replica_id, now)
        self._reindex()

    def put(self, record):
        """Add or update a ReplicaRecord."""
        self._missing.discard(record.id)
        self._gone.pop((record.id, record.born), None)
        self._records[record.id] = self._apply_leaving(record)
        self._reindex()

    def mark_leaving(self, replica_id, born):
        """Record that one start of a replica is leaving.

        Parameters
        ----------
        replica_id : str
            Id of the replica, which need not have an entry yet.
        born : int
            Start time of the replica in milliseconds.

        Returns
        -------
        bool
            Whether this was not known before.
        """
        record = self._records.get(replica_id)
        is_current = record is not None and record.born == born
        was_known = (replica_id, born) in self._leaving or (
            is_current and record.is_leaving
        )
        self._remember_leaving(replica_id, born)
        if is_current and not record.is_leaving:
            self._records[replica_id] = replace(record, is_leaving=True)
            self._reindex()
        return not was_known

    def remove(self, replica_id, now):
        """Remove the entry of a replica."""
        self._remove(replica_id, now)
        self._reindex()

    def expire(self, now):
        """Remove the entries still missing after the grace period; return their ids."""
        if not self._missing or now < self._grace_until:
            return []
        gone = list(self._missing)
        for replica_id in gone:
            self._drop(replica_id, now)
        self._missing.clear()
        self._reindex()
        return gone

    def find_gone_since(self, record):
        """Return when the entry of a ReplicaRecord was removed, a monotonic timedelta.

        It is None if the entry is still there, is not remembered, or said that the
        replica was leaving.
        """
        key = (record.id, record.born)
        return None if key in self._leaving else self._gone.get(key)

    def find(self, replica_id):
        """Return the ReplicaRecord with an id, or None."""
        return self._records.get(replica_id)

    def set_drained_domains(self, names):
        """Set the names (frozenset) of the failure domains that are drained."""
        self._drained_domains = names
        self._reindex()

    def is_drained(self, record):
        """Return whether the failure domain of a ReplicaRecord is drained."""
        return record.failure_domain in self._drained_domains

    def list_drained_domains(self, service, software_version=None):
        """Return the names (set) of the drained domains with replicas of a service.

        Parameters
        ----------
        service : str
            Name of the service.
        software_version : str or None
            Software version that the replicas must have; None for any.
        """
        return self._drained_by_version.get((service, software_version), frozenset())

    def list_domain(self, name):
        """Return the ReplicaRecords in a failure domain, including leaving ones."""
        return [each for each in self._records.values() if each.failure_domain == name]

    def list_domains(self):
        """Return the names (set) of the failure domains that have replicas."""
        return {each.failure_domain for each in self._records.values()}

    def list_service(self, service, software_version=None):
        """Return the ReplicaRecords of a service that may get new requests.

        Those that are leaving, or in a drained failure domain, may not.

        Parameters
        ----------
        service : str
            Name of the service.
        software_version : str or None
            Software version that they must have; None for any.
        """
        records = self._by_service.get(service, ())
        if software_version is None:
            return records
        return tuple(
            each for each in records if each.software_version == software_version
        )

    def list_versions(self):
        """Return the set of (service, software version) of all ReplicaRecords."""
        return self._versions

    def list_all(self):
        """Return all ReplicaRecords, including leaving ones."""
        return list(self._records.values())

    def _is_news(self, record):
        known = self._records.get(record.id)
        is_older = known is not None and known.born > record.born
        return not is_older and (record.id, record.born) not in self._gone

    def _apply_leaving(self, record):
        """Return a ReplicaRecord as leaving if it is, or was before."""
        if record.is_leaving:
            self._remember_leaving(record.id, record.born)
            return record
        if (record.id, record.born) in self._leaving:
            return replace(record, is_leaving=True)
        return record

    def _remember_leaving(self, replica_id, born):
        self._leaving[replica_id, born] = None
        if len(self._leaving) > MAX_REMEMBERED:
            self._leaving.popitem(last=False)

    def _remove(self, replica_id, now):
        if self._grace_until is not None and now < self._grace_until:
            if replica_id in self._records:
                self._missing.add(replica_id)
            return
        self._drop(replica_id, now)

    def _drop(self, replica_id, now):
        record = self._records.pop(replica_id, None)
        if record is None:
            return
        self._gone[record.id, record.born] = now
        if len(self._gone) > MAX_REMEMBERED:
            self._gone.popitem(last=False)

    def _reindex(self):
        found, drained = {}, {}
        for record in self._records.values():
            if record.is_leaving:
                continue
            if self.is_drained(record):
                for version in (None, record.software_version):
                    domains = drained.setdefault((record.service, version), set())
                    domains.add(record.failure_domain)
            else:
                found.setdefault(record.service, []).append(record)
        self._by_service = {name: tuple(each) for name, each in found.items()}
        self._drained_by_version = drained
        self._versions = frozenset(
            (each.service, each.software_version) for each in self._records.values()
        )
