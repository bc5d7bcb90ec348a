"""Which processes of a failure domain watch the object API."""

import xxhash


def choose_watchers(processes, count):
    """Return the processes that come first in an order that all agree on.

    Parameters
    ----------
    processes : iterable of ProcessId
        The live processes of one failure domain.
    count : int
        How many are to watch.

    Returns
    -------
    frozenset of ProcessId
    """
    ranked = sorted(processes, key=_rank)
    return frozenset(ranked[:count])


def _rank(process):
    return xxhash.xxh64_intdigest(str(process).encode())
