"""Adoption of the replicas' entries in the store."""

from ..fleet.replicas import RECOVERY_GRACE
from ..observing import ReplicaChanged, ReplicaMissing, ReplicasListed


class ReplicaRecords:
    """Apply pages of ReplicaRecords to the directory, and report what changes.

    Parameters
    ----------
    context : GatewayContext
        Shared state of the process.
    on_list : callable
        Called without arguments when all replicas were read.
    """

    def __init__(self, context, on_list):
        self._context = context
        self._directory = context.fleet.directory
        self._on_list = on_list
        self._era = None
        self._reported_missing = frozenset()

    def apply(self, page, is_full_list):
        """Apply a RecordPage of all replicas, or of changes."""
        self._context.stream_versions.refresh()
        is_restored = False
        if is_full_list:
            is_restored = self._adopt_list(page)
        else:
            self._adopt_changes(page)
        self._record_cold(page, is_full_list, is_restored)
        self._context.stream_versions.refresh()

    def record_recovery(self):
        """Keep missing entries for a time, as the store was away for a while."""
        self._directory.record_store_recovery(self._context.clock.monotonic())
        self._schedule_expiry()

    def _adopt_list(self, page):
        """Adopt a list; return whether the store was restored from an older copy."""
        now = self._context.clock.monotonic()
        records = [each.record for each in page.changes if each.record is not None]
        era = page.position.era
        is_restored = self._era is not None and era > self._era
        self._era = era
        before = self._list_ids()
        if is_restored:
            self._directory.restore(records, now)
            self._schedule_expiry()
        else:
            self._directory.replace_all(records, now)
        listed = ReplicasListed(len(records), page.position.revision)
        self._context.observer.observe(listed)
        for replica_id in sorted(before - self._list_ids()):
            self._report(replica_id, "gone", "its entry is no longer in the store")
        self._report_missing(now)
        self._on_list()
        return is_restored

    def _list_ids(self):
        return {each.id for each in self._directory.list_all()}

    def _adopt_changes(self, page):
        now = self._context.clock.monotonic()
        for change in page.changes:
            self._report_change(change, now)
            if change.record is None:
                self._directory.remove(change.name, now)
            else:
                self._directory.put(change.record)
                self._context.stream_versions.record_replica(change.record)
        self._report_missing(now)

    def _record_cold(self, page, is_full_list, is_restored):
        """Record what the entries that were adopted say of cold replicas."""
        found = [self._directory.find(change.name) for change in page.changes]
        listed = [each for each in found if each is not None]
        warmups = self._context.rate_limiting.warmups
        warmups.record_entries(listed, is_full_list, is_restored)

    def _schedule_expiry(self):
        self._context.clock.call_later(RECOVERY_GRACE, self._expire_missing)

    def _expire_missing(self):
        """Remove the replicas whose entries are still missing after the grace."""
        now = self._context.clock.monotonic()
        for replica_id in self._directory.expire(now):
            self._report(replica_id, "gone", "still missing after the store recovered")

    def _report_missing(self, now):
        """Report each replica whose entry is missing, once."""
        missing = self._directory.missing
        for replica_id in sorted(missing - self._reported_missing):
            time_left = self._directory.find_grace_left(now).total_seconds()
            self._context.observer.observe(ReplicaMissing(replica_id, time_left))
        self._reported_missing = missing

    def _report_change(self, change, now):
        previous = self._directory.find(change.name)
        if change.record is None:
            if not self._directory.is_recovering(now):
                self._report(change.name, "gone", "its entry in the store was removed")
        elif previous is None:
            self._report(change.name, "new", "its entry in the store was written")
        elif change.record.is_leaving and not previous.is_leaving:
            reason = "its entry in the store is marked as leaving"
            self._report(change.name, "leaving", reason)

    def _report(self, replica_id, change, reason):
        self._context.observer.observe(ReplicaChanged(replica_id, change, reason))
