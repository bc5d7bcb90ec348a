"""Replicas where adapters of a drained failure domain are to be loaded."""

from ..placement.choices import rank_replicas


def choose_replica(target, version, candidates):
    """Return the id of the replica where an adapter is to be loaded in advance.

    All entry processes choose alike by rendezvous hashing, so that several ones that
    want the adapter cost one load.

    Parameters
    ----------
    target : AdapterName
        The adapter.
    version : int
        Oldest version that requests may use.
    candidates : list of Candidate
        Replicas that are left.

    Raises
    ------
    LookupError
        If a replica that is left holds or loads the adapter, or none can load it.
    """
    key = f"{target.model}/{target.adapter}"
    usable = [each for each in candidates if each.can_load and each.held is not None]
    for each in usable:
        known = max(
            each.held.get(target.adapter, -1), each.pending.get(target.adapter, -1)
        )
        if known >= version:
            raise LookupError(f"{each.record.id} has {key}")
    usable = [each for each in usable if key not in each.refused_adapters]
    if not usable:
        raise LookupError(f"no replica can load {key}")
    return rank_replicas(key, usable)[0].record.id


class CandidateLists:
    """Replicas that are left, listed once for each service and model.

    Parameters
    ----------
    fleet : Fleet
        Lists the replicas.
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self._lists = {}

    def find(self, preload):
        """Return the Candidates for a Preload."""
        key = (preload.service, preload.target.model)
        if key not in self._lists:
            self._lists[key] = self._fleet.list_candidates(*key, set())
        return self._lists[key]

    def hold(self, preload, wanted):
        """Return whether a candidate holds the WantedAdapter of a Preload by now."""
        return any(
            each.held is not None
            and each.held.get(wanted.adapter, -1) >= wanted.version
            for each in self.find(preload)
        )
