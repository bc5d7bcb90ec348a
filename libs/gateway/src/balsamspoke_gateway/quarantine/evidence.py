"""Evidence on which prompt parts have crashed replicas."""

from collections import deque
from dataclasses import dataclass
from datetime import timedelta
from itertools import combinations

# Crashes, each with another request, that make the parts they share the cause.
MIN_CRASHES = 2
EVIDENCE_LIFETIME = timedelta(minutes=5)
# Limits the work after each crash, which grows with the square of it.
MAX_SUSPICIONS = 200


@dataclass(frozen=True, slots=True)
class CrashCause:
    """Prompt parts that explain crashes of replicas.

    Attributes
    ----------
    parts : frozenset of str
        Ids of the parts.
    is_certain : bool
        Whether no other parts explain the same crashes as well.
    """

    parts: frozenset
    is_certain: bool


@dataclass(slots=True)
class _Suspicion:
    """A request that may have crashed a replica."""

    crash: tuple[str, int]
    request: str
    parts: frozenset
    recorded_at: timedelta


class CrashEvidence:
    """Collect the suspects of crashes, and find what they have in common.

    This handles a prompt part that crashes whichever replica answers it. One crash
    doesn't show which of the running requests caused it, so the requests of several
    crashes are compared. Parts that are answered are no longer suspected.
    """

    def __init__(self):
        self._suspicions = deque()

    def add(self, report, now):
        """Add the suspects of a CrashReport at a monotonic time (timedelta)."""
        crash = (report.replica, report.born)
        known = {(each.crash, each.request) for each in self._suspicions}
        for suspect in report.suspects:
            if suspect.parts and (crash, suspect.request) not in known:
                parts = frozenset(suspect.parts)
                self._suspicions.append(_Suspicion(crash, suspect.request, parts, now))
        self._expire(now)

    def clear(self, part_ids):
        """Suspect parts (by id) no longer; return whether they were suspected."""
        cleared = False
        for suspicion in self._suspicions:
            if suspicion.parts & part_ids:
                suspicion.parts -= part_ids
                cleared = True
        return cleared

    def find_causes(self, known_causes):
        """Find the parts that explain crashes which nothing else explains.

        Parameters
        ----------
        known_causes : iterable of frozenset
            Sets of parts that are known to crash replicas.

        Returns
        -------
        list of CrashCause
            New causes. Each was in requests of at least ``MIN_CRASHES`` crashes that
            no other cause explains.
        """
        crashes = {each: self._find_crashes(each) for each in self._list_common_parts()}
        causes = list(known_causes)
        crashes |= {each: self._find_crashes(each) for each in causes}
        found = []
        while True:
            best = self._choose_best(crashes, causes)
            if not best:
                return found
            causes += best
            found += [CrashCause(parts, len(best) == 1) for parts in best]

    def _list_common_parts(self):
        """Return the sets of parts that requests of different crashes share."""
        common = set()
        for first, second in combinations(self._suspicions, 2):
            if first.crash != second.crash and first.request != second.request:
                common.add(first.parts & second.parts)
        common.discard(frozenset())
        return common

    def _find_crashes(self, parts):
        return {each.crash for each in self._suspicions if parts <= each.parts}

    @staticmethod
    def _choose_best(crashes, causes):
        """Return the sets of parts that explain most of the unexplained crashes."""
        counts = {}
        for parts in crashes:
            if any(cause <= parts for cause in causes):
                continue
            # A cause with further parts is a less general explanation.
            explained = [crashes[each] for each in causes if not parts < each]
            counts[parts] = len(crashes[parts].difference(*explained))
        most = max(counts.values(), default=0)
        if most < MIN_CRASHES:
            return []
        return [parts for parts, count in counts.items() if count == most]

    def _expire(self, now):
        suspicions = self._suspicions
        while len(suspicions) > MAX_SUSPICIONS or (
            suspicions and now - suspicions[0].recorded_at > EVIDENCE_LIFETIME
        ):
            suspicions.popleft()
