"""The plain way to find the causes of crashes, with which the quick one is compared."""

from itertools import combinations

from balsamspoke_gateway.quarantine.evidence import (
    CERTAIN_CRASHES,
    MIN_BROAD_CRASHES,
    MIN_CRASHES,
)
from balsamspoke_gateway.quarantine.shares import (
    BROAD_SHARE,
    PRIOR_COUNT,
    UBIQUITOUS_SHARE,
)


def find_causes(suspects, known_causes, prompts):
    """Return the causes (set of tuple), each with whether it is certain.

    Parameters
    ----------
    suspects : list of tuple
        Crash, request and parts (frozenset) of each.
    known_causes : list of frozenset
        Sets of parts that are known to crash replicas.
    prompts : list of frozenset
        Parts of the recent prompts.
    """

    def estimate_share(parts):
        count = sum(parts <= prompt for prompt in prompts) + PRIOR_COUNT
        return count / (len(prompts) + PRIOR_COUNT)

    candidates = {
        each
        for each in _list_common(suspects)
        if estimate_share(each) < UBIQUITOUS_SHARE
    }
    causes = list(known_causes)
    crashes = {
        parts: {crash for crash, _, other in suspects if parts <= other}
        for parts in candidates.union(causes)
    }
    found = set()
    while True:
        counts = _count_explained(candidates, crashes, causes)
        allowed = {
            parts: count
            for parts, count in counts.items()
            if count >= MIN_BROAD_CRASHES or estimate_share(parts) < BROAD_SHARE
        }
        most = max(allowed.values(), default=0)
        if most < MIN_CRASHES:
            return found
        best = [parts for parts, count in allowed.items() if count == most]
        best = [each for each in best if not any(each < other for other in best)]
        causes += best
        rivals = [
            parts
            for parts, count in counts.items()
            if count >= most and not any(parts <= each for each in best)
        ]
        is_certain = most >= CERTAIN_CRASHES and len(best) == 1 and not rivals
        found.update((parts, is_certain) for parts in best)


def _list_common(suspects):
    common = {
        first[2] & second[2]
        for first, second in combinations(suspects, 2)
        if first[0] != second[0] and first[1] != second[1]
    }
    common.discard(frozenset())
    return common


def _count_explained(candidates, crashes, causes):
    counts = {}
    for parts in candidates:
        if any(cause <= parts for cause in causes):
            continue
        larger = [cause for cause in causes if parts < cause]
        if any(crashes[parts] <= crashes[cause] for cause in larger):
            continue
        explained = [crashes[each] for each in causes if each not in larger]
        counts[parts] = len(crashes[parts].difference(*explained))
    return counts
