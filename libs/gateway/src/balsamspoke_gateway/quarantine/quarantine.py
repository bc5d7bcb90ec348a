"""Decision which prompt parts are in quarantine, and for how long."""

from datetime import timedelta

from .answered import AnsweredPartsCache
from .evidence import CrashEvidence
from .messages import CrashReport, CrashSuspect, QuarantineEntry

# Afterwards two crashes put the parts in quarantine again.
QUARANTINE_TIME = timedelta(minutes=10)
# Parts that are one of several explanations are tried again sooner: one more crash, or
# an answer, tells which of them is the cause.
UNCERTAIN_TIME = timedelta(seconds=30)
MAX_ENTRIES = 200


class PromptQuarantine:
    """Sets of prompt parts that are not sent to replicas, as they crash them.

    It handles requests that crash each replica they are sent to, and would take down a
    whole service one replica after the other. A request is refused if its prompt has
    all parts of a set. An answer to a request with a part ends its quarantine.
    """

    def __init__(self):
        self._answered = AnsweredPartsCache()
        self._evidence = CrashEvidence()
        self._ends = {}

    def record_answered(self, part_ids, now):
        """Record that a replica has answered a request with prompt parts.

        Parameters
        ----------
        part_ids : iterable of str
            Ids of the parts.
        now : timedelta
            Monotonic time.

        Returns
        -------
        bool
            Whether one of the parts was suspected or in quarantine.
        """
        self._answered.record(part_ids, now)
        answered = frozenset(part_ids)
        was_suspected = self._evidence.clear(answered)
        lifted = [parts for parts in self._ends if parts & answered]
        for parts in lifted:
            del self._ends[parts]
        return was_suspected or bool(lifted)

    def select_answered(self, part_ids, now):
        """Return a tuple of those parts (by id) that were answered lately."""
        return tuple(each for each in part_ids if self._answered.is_trusted(each, now))

    def select_suspects(self, report, now):
        """Return a CrashReport without the parts that were answered lately."""
        suspects = []
        for suspect in report.suspects:
            answered = self.select_answered(suspect.parts, now)
            parts = tuple(each for each in suspect.parts if each not in answered)
            if parts:
                suspects.append(CrashSuspect(suspect.request, parts))
        return CrashReport(report.replica, report.born, tuple(suspects))

    def record_crash(self, report, now):
        """Record the suspects of a CrashReport.

        Returns
        -------
        list of CrashCause
            What is in quarantine from now on.
        """
        self._evidence.add(self.select_suspects(report, now), now)
        causes = self._evidence.find_causes(self.list_sets(now))
        for cause in causes:
            duration = QUARANTINE_TIME if cause.is_certain else UNCERTAIN_TIME
            self._add(cause.parts, now + duration)
        return causes

    def adopt(self, entries, now):
        """Adopt the QuarantineEntries of another process or of an earlier start.

        Returns
        -------
        list of frozenset
            Sets of parts that are in quarantine from now on.
        """
        added = []
        for entry in entries:
            parts = frozenset(entry.parts)
            longest = QUARANTINE_TIME.total_seconds()
            # The order of the arguments makes a time that is not a number zero.
            left = timedelta(seconds=min(longest, max(0.0, entry.seconds_left)))
            is_known = self._find_end(parts, now) is not None
            if is_known or not parts or left <= timedelta(0):
                continue
            if not self.select_answered(parts, now):
                self._add(parts, now + left)
                added.append(parts)
        return added

    def find_time_left(self, part_ids, now):
        """Return how long a prompt with parts (by id) is in quarantine, or None."""
        if not self._ends:
            return None
        end = self._find_end(frozenset(part_ids), now)
        return None if end is None else end - now

    def list_sets(self, now):
        """Return the sets of parts that are in quarantine."""
        return [parts for parts, end in self._ends.items() if end > now]

    def make_entries(self, now):
        """Return a tuple of QuarantineEntries of all sets."""
        return tuple(
            QuarantineEntry(tuple(sorted(parts)), (end - now).total_seconds())
            for parts, end in self._ends.items()
            if end > now
        )

    def _find_end(self, parts, now):
        ends = [end for each, end in self._ends.items() if each <= parts and end > now]
        return max(ends, default=None)

    def _add(self, parts, end):
        # A set makes those that contain it needless.
        for each in [each for each in self._ends if parts < each]:
            del self._ends[each]
        self._ends[parts] = end
        while len(self._ends) > MAX_ENTRIES:
            del self._ends[min(self._ends, key=self._ends.get)]
