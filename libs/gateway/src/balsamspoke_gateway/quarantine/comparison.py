"""Comparison of the suspects of crashes, by the sets of parts that they share."""

from itertools import combinations

from .part_sets import PartNumbers, SetCollection


class CrashComparison:
    """Sets of parts that requests of different crashes share, and what they explain.

    A set explains a crash if a request with all of its parts ran at it. The sets in
    the parameters and results are integers, see ``part_sets``.

    Parameters
    ----------
    suspicions : sequence
        The requests that may have crashed a replica, each with ``crash``, ``request``
        and ``parts``.

    Attributes
    ----------
    numbers : PartNumbers
        Bits of the parts.
    """

    def __init__(self, suspicions):
        self.numbers = PartNumbers()
        sets = [self.numbers.encode(each.parts) for each in suspicions]
        common = _list_common(suspicions, sets)
        self._candidates = SetCollection(sorted(common))
        self._suspects = {}
        for each, parts in zip(suspicions, sets, strict=True):
            self._suspects.setdefault(each.crash, []).append(parts)
        self._explaining = {
            crash: self._find_explaining(suspects)
            for crash, suspects in self._suspects.items()
        }
        # What no cause covers, and by crash, where no cause explains it.
        self._left = self._candidates.everything
        self._unexplained = dict(self._explaining)

    def _find_explaining(self, suspects):
        mask = 0
        for parts in set(suspects):
            mask |= self._candidates.find_subsets(parts)
        return mask

    def add_cause(self, cause):
        """Take a set for the cause of the crashes that it explains."""
        crashes = self._find_crashes(cause)
        subsets = self._candidates.find_subsets(cause)
        self._left &= ~self._candidates.find_supersets(cause)
        # A part of a cause is a more general explanation, if it explains more.
        self._left &= ~(subsets & self._find_exactly(crashes))
        for crash in crashes:
            self._unexplained[crash] &= subsets

    def _find_crashes(self, cause):
        return {
            crash
            for crash, suspects in self._suspects.items()
            if any(cause & parts == cause for parts in suspects)
        }

    def _find_exactly(self, crashes):
        """Return the mask of the candidates that explain these crashes alone."""
        mask = self._candidates.everything
        for crash, explaining in self._explaining.items():
            mask &= explaining if crash in crashes else ~explaining
        return mask

    def group_by_count(self):
        """Return the masks of the candidates that are left, by what they explain.

        Returns
        -------
        list of int
            The mask at a number is that of the sets which explain so many crashes
            that no cause does.
        """
        at_least = [self._left]
        for unexplained in self._unexplained.values():
            more = [mask & unexplained for mask in at_least]
            at_least.append(0)
            for number, mask in enumerate(more):
                at_least[number + 1] |= mask
        fewer = [*at_least[1:], 0]
        return [mask & ~above for mask, above in zip(at_least, fewer, strict=True)]

    def select(self, mask):
        """Return a list of the candidates of a mask."""
        return self._candidates.select(mask)

    def find_subsets(self, parts):
        """Return the mask of the candidates that have no other than some parts."""
        return self._candidates.find_subsets(parts)


def _list_common(suspicions, sets):
    """Return the sets of parts that requests of different crashes share."""
    suspects = [
        (parts, each.crash, each.request)
        for parts, each in zip(sets, suspicions, strict=True)
    ]
    common = {
        first[0] & second[0]
        for first, second in combinations(suspects, 2)
        if first[1] != second[1] and first[2] != second[2]
    }
    common.discard(0)
    return common
