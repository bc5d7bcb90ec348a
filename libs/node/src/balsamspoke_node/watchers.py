"""Selection of the processes of a failure domain that watch the object API."""

import xxhash


def select_watchers(processes, count):
    """Return the processes with the lowest hash ranks.

    The hash depends on the process id alone, so that processes with the same member
    list select the same watchers without coordination.

    Parameters
    ----------
    processes : iterable of ProcessId
        The live entry processes of one failure domain.
    count : int
        Number of watchers to select.

    Returns
    -------
    frozenset of ProcessId
    """
    ranked = sorted(processes, key=_rank)
    return frozenset(ranked[:count])


def _rank(process):
    return xxhash.xxh64_intdigest(str(process).encode())
