"""How many of the recent prompts have certain parts."""

from collections import deque

from .part_sets import SetCollection

# Recent prompts that are counted.
SAMPLE_SIZE = 200
# A set of parts that at least this fraction of the prompts have is broad.
BROAD_SHARE = 0.25
# A set that at least this fraction has is ubiquitous: without it, little would be left
# to serve.
UBIQUITOUS_SHARE = 0.6
# Prompts with all parts that are assumed beside those of the sample.
PRIOR_COUNT = 2


class PromptShares:
    """Sample of the parts of the prompts that this process received last.

    It keeps a part that many prompts share, such as that of a whole team, from being
    taken for the cause of crashes: it is in most requests that a replica runs, so also
    in those that ran when the replica crashed.
    """

    def __init__(self):
        self._prompts = deque(maxlen=SAMPLE_SIZE)

    def record(self, part_ids):
        """Record the shared parts (by id) of a prompt."""
        self._prompts.append(frozenset(part_ids))

    def count(self, numbers):
        """Return the CountedShares of the prompts so far.

        Parameters
        ----------
        numbers : PartNumbers
            Bits of the parts that are asked for.
        """
        prompts = [numbers.encode_known(each) for each in self._prompts]
        return CountedShares(SetCollection(prompts), len(prompts))


class CountedShares:
    """How many prompts have a set of parts.

    Parameters
    ----------
    prompts : SetCollection
        The parts of each prompt.
    size : int
        Number of prompts.
    """

    def __init__(self, prompts, size):
        self._prompts = prompts
        self._size = size

    def is_broad(self, parts):
        """Return whether many prompts have all parts of a set (an integer).

        With few prompts the share is not known well, so more sets count as broad.
        """
        return self._estimate_share(parts) >= BROAD_SHARE

    def is_ubiquitous(self, parts):
        """Return whether nearly all prompts have all parts of a set (an integer)."""
        return self._estimate_share(parts) >= UBIQUITOUS_SHARE

    def _estimate_share(self, parts):
        count = self._prompts.find_supersets(parts).bit_count() + PRIOR_COUNT
        return count / (self._size + PRIOR_COUNT)
