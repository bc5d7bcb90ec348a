"""Reclaiming of units from holders whose VM is gone."""

from dataclasses import dataclass
from datetime import timedelta

from balsamspoke_types.exceptions import IdentifierError
from balsamspoke_types.identifiers import ProcessId


@dataclass(slots=True)
class _Mark:
    id: str
    written_at: timedelta | None = None


class Reclaimer:
    """Mark holders whose VM is missing, wait, and free their units.

    Parameters
    ----------
    process : ProcessId
        The process that sets the marks; the ids of the marks start with its id.
    settings : BudgetSettings
        Settings of the budgets.
    """

    def __init__(self, process, settings):
        self._process = process
        self._settings = settings
        self._own_marks = {}
        self._foreign_marks = {}
        self._mark_count = 0

    def plan(self, record, observation):
        """Return the record with marks set or removed and units freed as is due.

        Parameters
        ----------
        record : GroupRecord
            The group's record as last known.
        observation : VmObservation
            The VM list as this process has observed it.
        """
        if observation.requested_at is None:
            return record
        for holder in sorted(record.units):
            if holder.vm != self._process.vm:
                record = self._plan_holder(record, holder, observation)
        return record

    def confirm_marks(self, record, now):
        """Start the waiting time of own marks in a record; drop those not in it.

        Parameters
        ----------
        record : GroupRecord
            A record that the object API is certain to have stored.
        now : timedelta
            Monotonic time from which newly written marks count.
        """
        for holder, mark in list(self._own_marks.items()):
            if record.marks.get(holder) != mark.id:
                del self._own_marks[holder]
            elif mark.written_at is None:
                mark.written_at = now

    def _plan_holder(self, record, holder, observation):
        mark_id = record.marks.get(holder)
        mark = self._own_marks.get(holder)
        is_own = mark is not None and mark.id == mark_id
        missing_since = observation.find_missing_since(holder.vm)
        if missing_since is None:
            return record.with_mark(holder, None) if is_own else record
        if is_own and mark.written_at is not None:
            waited = observation.requested_at - max(missing_since, mark.written_at)
            is_due = waited >= self._settings.reclaim_wait
            return record.with_units(holder, 0) if is_due else record
        missing_for = observation.requested_at - missing_since
        if missing_for < self._settings.vm_list_staleness:
            return record
        if mark_id is not None and not self._can_replace(holder, mark_id, observation):
            return record
        return record.with_mark(holder, self._create_mark(holder))

    def _can_replace(self, holder, mark_id, observation):
        try:
            marker = ProcessId.parse(mark_id.rpartition("/")[0])
        except IdentifierError:
            return True
        if marker.vm == self._process.vm:
            return True
        if observation.find_missing_since(marker.vm) is not None:
            return True
        seen, seen_since = self._foreign_marks.get(holder, (None, None))
        if seen != mark_id:
            self._foreign_marks[holder] = (mark_id, observation.requested_at)
            return False
        return observation.requested_at - seen_since > 2 * self._settings.reclaim_wait

    def _create_mark(self, holder):
        self._mark_count += 1
        mark = _Mark(f"{self._process}/{self._mark_count}")
        self._own_marks[holder] = mark
        return mark.id
