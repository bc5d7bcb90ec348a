"""Evidence on which prompt parts have crashed replicas."""

from collections import deque
from dataclasses import dataclass
from datetime import timedelta

from .comparison import CrashComparison
from .part_sets import list_largest

# Crashes, each with another request, that make the parts they share a possible cause,
# and the cause if no other parts explain as many.
MIN_CRASHES = 2
CERTAIN_CRASHES = 3
# Crashes that make parts a possible cause which many prompts have: by chance they are
# in requests of each crash, and refusing them costs more.
MIN_BROAD_CRASHES = 5
EVIDENCE_LIFETIME = timedelta(minutes=5)
# Time for which parts are refused that are known to crash replicas.
QUARANTINE_TIME = timedelta(minutes=10)
# Possible causes are sent again sooner: one more crash, or an answer, tells.
UNCERTAIN_TIME = timedelta(seconds=30)
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
        Whether they explain ``CERTAIN_CRASHES`` and no other parts do so as well.
    certain_time : timedelta
        Time for which they are refused if they are certain.
    """

    parts: frozenset
    is_certain: bool
    certain_time: timedelta = QUARANTINE_TIME

    @property
    def duration(self):
        """Time (timedelta) for which the parts are refused."""
        return self.certain_time if self.is_certain else UNCERTAIN_TIME


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

    def find_causes(self, known_causes, shares):
        """Find the parts that explain crashes which nothing else explains.

        Parameters
        ----------
        known_causes : iterable of frozenset
            Sets of parts that are known to crash replicas.
        shares : PromptShares
            Tells how many prompts have a set of parts.

        Returns
        -------
        list of CrashCause
            New causes, none of them in nearly all prompts. Each was in requests of at
            least ``MIN_CRASHES`` crashes that no other cause explains, or of
            ``MIN_BROAD_CRASHES`` if it is broad.
        """
        comparison = CrashComparison(self._suspicions)
        numbers = comparison.numbers
        counted = shares.count(numbers)
        for each in known_causes:
            comparison.add_cause(numbers.encode(each))
        found = []
        while True:
            groups = comparison.group_by_count()
            best, count = _choose_best(comparison, groups, counted)
            if count < MIN_CRASHES:
                return found
            is_certain = count >= CERTAIN_CRASHES and not _has_rivals(
                comparison, groups, best, count, counted
            )
            for parts in best:
                comparison.add_cause(parts)
                found.append(CrashCause(numbers.decode(parts), is_certain))

    def _expire(self, now):
        suspicions = self._suspicions
        while len(suspicions) > MAX_SUSPICIONS or (
            suspicions and now - suspicions[0].recorded_at > EVIDENCE_LIFETIME
        ):
            suspicions.popleft()


def _choose_best(comparison, groups, shares):
    """Return the candidates that explain most crashes, and their number.

    Parameters
    ----------
    comparison : CrashComparison
        Holds the candidates.
    groups : list of int
        Their masks by the number of crashes that they explain.
    shares : CountedShares
        Tells how many prompts have a set of parts.
    """
    for count in range(len(groups) - 1, MIN_CRASHES - 1, -1):
        is_too_common = (
            shares.is_ubiquitous if count >= MIN_BROAD_CRASHES else shares.is_broad
        )
        sets = comparison.select(groups[count])
        best = [parts for parts in sets if not is_too_common(parts)]
        if best:
            # Of sets that explain the same, the largest refuses the fewest requests.
            return list_largest(best), count
    return [], 0


def _has_rivals(comparison, groups, best, count, shares):
    """Return whether other sets explain as many crashes as the best candidates.

    Broad sets count, too, that are no cause yet: while processes start, a set may be in
    the requests of each crash by chance beside one that many prompts have.
    """
    if len(best) > 1:
        return True
    rivals = 0
    for mask in groups[count:]:
        rivals |= mask
    rivals &= ~comparison.find_subsets(best[0])
    return not all(map(shares.is_ubiquitous, comparison.select(rivals)))
