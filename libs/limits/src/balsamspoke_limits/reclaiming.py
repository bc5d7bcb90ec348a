"""Taking back the units of holders whose VM is gone."""

from dataclasses import dataclass
from datetime import timedelta

from balsamspoke_types.exceptions import IdentifierError
from balsamspoke_types.identifiers import ProcessId


@dataclass(slots=True)
class _Mark:
    id: str
    since: timedelta | None = None


class Reclaimer:
    """Mark the units of missing holders, wait, and free them.

    Parameters
    ----------
    process : ProcessId
        Whose marks these are.
    settings : BudgetSettings
        Settings.
    """

    def __init__(self, process, settings):
        self._process = process
        self._settings = settings
        self._marks = {}
        self._seen = {}
        self._drawn = 0

    def plan(self, record, observation):
        """Return the record with marks and units changed as is due."""
        if observation.asked_at is None:
            return record
        for holder in sorted(record.units):
            if holder.vm != self._process.vm:
                record = self._plan_holder(record, holder, observation)
        return record

    def note_written(self, record, now):
        """Note what the object API certainly holds; marks count from now."""
        for holder, mark in list(self._marks.items()):
            if record.marks.get(holder) != mark.id:
                del self._marks[holder]
            elif mark.since is None:
                mark.since = now

    def _plan_holder(self, record, holder, observation):
        found = record.marks.get(holder)
        mine = self._marks.get(holder)
        own = mine is not None and mine.id == found
        since = observation.find_missing_since(holder.vm)
        if since is None:
            return record.with_mark(holder, None) if own else record
        if own and mine.since is not None:
            waited = observation.asked_at - max(since, mine.since)
            due = waited >= self._settings.reclaim_wait
            return record.with_units(holder, 0) if due else record
        missing_for = observation.asked_at - since
        if missing_for < self._settings.vm_list_lag:
            return record
        if found is not None and not self._may_replace(holder, found, observation):
            return record
        return record.with_mark(holder, self._draw_mark(holder))

    def _may_replace(self, holder, found, observation):
        try:
            marker = ProcessId.parse(found.rpartition("/")[0])
        except IdentifierError:
            return True
        if marker.vm == self._process.vm:
            return True
        if observation.find_missing_since(marker.vm) is not None:
            return True
        seen, since = self._seen.get(holder, (None, None))
        if seen != found:
            self._seen[holder] = (found, observation.asked_at)
            return False
        return observation.asked_at - since > 2 * self._settings.reclaim_wait

    def _draw_mark(self, holder):
        self._drawn += 1
        mark = _Mark(f"{self._process}/{self._drawn}")
        self._marks[holder] = mark
        return mark.id
