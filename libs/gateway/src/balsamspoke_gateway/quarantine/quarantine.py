"""Decision which requests are in quarantine, and for how long.

The parts of a request, here and in the other modules of the quarantine, are the prompt
parts that other requests may share, and the fingerprint of the whole request.
"""

from dataclasses import dataclass
from datetime import timedelta

from .answered import AnsweredPartsCache
from .evidence import QUARANTINE_TIME, UNCERTAIN_TIME, CrashEvidence
from .fingerprints import is_fingerprint
from .messages import CrashReport, CrashSuspect, QuarantineEntry
from .repeats import MAX_REPEAT_QUARANTINE_TIME, RepeatEvidence
from .shares import PromptShares

MAX_ENTRIES = 200
# Time left of what another process tells below which it is not adopted. A set ends at
# slightly different times at the processes, which would otherwise go on telling it to
# one another as new.
MIN_ADOPTED_TIME = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class Quarantined:
    """A set of parts in quarantine.

    Attributes
    ----------
    parts : frozenset of str
        Requests whose prompts have all of these parts are refused.
    ends_at : timedelta
        Monotonic time at which the quarantine ends.
    is_certain : bool
        Whether the parts are known to crash replicas; otherwise they may do so.
    """

    parts: frozenset
    ends_at: timedelta
    is_certain: bool


class PromptQuarantine:
    """Sets of parts that are not sent to replicas, as they crash them.

    It handles requests that crash each replica they are sent to, and would take down a
    whole service one replica after the other. A request is refused if it has all parts
    of a set. An answer to a request with a part ends its quarantine.
    """

    def __init__(self):
        self._answered = AnsweredPartsCache()
        self._evidence = CrashEvidence()
        self._repeats = RepeatEvidence()
        self._shares = PromptShares()
        self._entries = {}

    def record_prompt(self, part_ids):
        """Record the shared parts (by id) of a prompt that this process received."""
        self._shares.record(part_ids)

    def record_answered(self, part_ids, now):
        """Record that a replica has answered a request with parts.

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
        was_suspected |= self._repeats.clear(answered)
        lifted = [parts for parts in self._entries if parts & answered]
        for parts in lifted:
            del self._entries[parts]
        return was_suspected or bool(lifted)

    def select_answered(self, part_ids, now):
        """Return a tuple of those parts (by id) that were answered lately."""
        return tuple(each for each in part_ids if self._answered.is_trusted(each, now))

    def select_suspects(self, report, now):
        """Return a CrashReport without what was answered lately."""
        suspects = []
        for suspect in report.suspects:
            answered = self.select_answered(suspect.parts, now)
            parts = tuple(each for each in suspect.parts if each not in answered)
            if parts or not self._answered.is_trusted(suspect.request, now):
                suspects.append(CrashSuspect(suspect.request, parts))
        return CrashReport(report.replica, report.born, tuple(suspects))

    def is_repeated(self, fingerprint):
        """Return whether a request ran at a crash before."""
        return self._repeats.is_suspected(fingerprint)

    def record_crashes(self, reports, now):
        """Record the suspects of CrashReports, and compare them with all others.

        Returns
        -------
        list of Quarantined
            What is in quarantine from now on, or certain from now on.
        """
        causes = []
        has_new_parts = False
        for each in reports:
            report = self.select_suspects(each, now)
            causes += self._find_repeats(report, now)
            if any(suspect.parts for suspect in report.suspects):
                self._evidence.add(report, now)
                has_new_parts = True
        if has_new_parts:
            causes += self._find_common_causes(now)
        return self._add_causes(causes, now)

    def reconsider(self, now):
        """Judge the crashes again after a part of a set has been answered.

        This handles processes and crashes that begin together: the cause is found with
        a sound part that had no answer yet, and without that part it is still there.

        Returns
        -------
        list of Quarantined
            What is in quarantine from now on, or certain from now on.
        """
        return self._add_causes(self._find_common_causes(now), now)

    def _find_common_causes(self, now):
        certain = [each.parts for each in self.list_entries(now) if each.is_certain]
        return self._evidence.find_causes(certain, self._shares)

    def _add_causes(self, causes, now):
        entries = [
            Quarantined(each.parts, now + each.duration, each.is_certain)
            for each in causes
        ]
        return [each for each in entries if self._add(each, now)]

    def _find_repeats(self, report, now):
        """Return a CrashCause for each request that ran at several crashes."""
        suspected = [
            each.request
            for each in report.suspects
            if not self._answered.is_trusted(each.request, now)
        ]
        return self._repeats.add((report.replica, report.born), suspected, now)

    def adopt(self, entries, now):
        """Adopt the QuarantineEntries of another process or of an earlier start.

        Returns
        -------
        list of Quarantined
            What is in quarantine from now on, or certain from now on.
        """
        added = []
        for each in entries:
            longest = _find_longest_time(each)
            # The order of the arguments makes a time that is not a number zero.
            left = min(longest.total_seconds(), max(0.0, each.seconds_left))
            if left < MIN_ADOPTED_TIME.total_seconds():
                continue
            ends_at = now + timedelta(seconds=left)
            entry = Quarantined(frozenset(each.parts), ends_at, each.is_certain)
            if not self.select_answered(entry.parts, now) and self._add(entry, now):
                added.append(entry)
        return added

    def find_time_left(self, part_ids, now):
        """Return how long a request with parts (by id) is in quarantine, or None."""
        if not self._entries:
            return None
        parts = frozenset(part_ids)
        ends = [each.ends_at for each in self.list_entries(now) if each.parts <= parts]
        return max(ends) - now if ends else None

    def list_entries(self, now):
        """Return the Quarantined sets at a monotonic time."""
        return [each for each in self._entries.values() if each.ends_at > now]

    def make_messages(self, now):
        """Return a tuple of QuarantineEntries of all sets."""
        return tuple(
            QuarantineEntry(
                tuple(sorted(each.parts)),
                (each.ends_at - now).total_seconds(),
                each.is_certain,
            )
            for each in self.list_entries(now)
        )

    def _add(self, entry, now):
        """Add a Quarantined set; return whether it says more than what is there."""
        if not entry.parts or entry.ends_at <= now:
            return False
        for each in self.list_entries(now):
            if each.parts <= entry.parts and each.is_certain >= entry.is_certain:
                return False
        for each in list(self._entries.values()):
            if entry.parts <= each.parts and entry.is_certain >= each.is_certain:
                del self._entries[each.parts]
        self._entries[entry.parts] = entry
        while len(self._entries) > MAX_ENTRIES:
            del self._entries[min(self._entries, key=self._find_end)]
        return True

    def _find_end(self, parts):
        return self._entries[parts].ends_at


def _find_longest_time(entry):
    """Return the longest time for which a QuarantineEntry may refuse requests."""
    if not entry.is_certain:
        return UNCERTAIN_TIME
    if any(map(is_fingerprint, entry.parts)):
        return MAX_REPEAT_QUARANTINE_TIME
    return QUARANTINE_TIME
