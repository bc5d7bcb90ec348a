"""Ways to choose a replica: adapter affinity, and the baselines it is measured by."""

from abc import ABC, abstractmethod

_SAMPLE_TRIES = 8
_SPARE_RANKS = 1
_SPILL_RANKS = 1


class RoutingPolicy(ABC):
    """A way to choose one of the usable replicas of a pool."""

    @abstractmethod
    def choose(self, pool, adapter, excluded, now):
        """Choose a replica.

        Parameters
        ----------
        pool : ReplicaPool
            The service's replicas.
        adapter : AdapterRef or None
            What the request runs on.
        excluded : frozenset of ProcessId
            Replicas that must not be chosen.
        now : timedelta
            Monotonic time.

        Returns
        -------
        Replica or None
            None if no usable replica is left.
        """


class RoundRobin(RoutingPolicy):
    """Each usable replica in turn."""

    def __init__(self):
        self._turn = 0

    def choose(self, pool, adapter, excluded, now):
        """Choose the next replica."""
        usable = pool.get_usable()
        for _ in usable:
            self._turn += 1
            replica = usable[self._turn % len(usable)]
            if replica.peer not in excluded:
                return replica
        return None


class LeastLoaded(RoutingPolicy):
    """The lesser loaded of two replicas drawn at random.

    Parameters
    ----------
    random_source : random.Random
        Draws the two.
    """

    def __init__(self, random_source):
        self._random = random_source

    def choose(self, pool, adapter, excluded, now):
        """Choose the lesser loaded of two."""
        usable = pool.get_usable()
        first = self._draw(usable, excluded)
        if first is None:
            return None
        second = self._draw(usable, excluded | {first.peer})
        if second is None:
            return first
        return min(first, second, key=lambda replica: pool.get_load(replica, now))

    def _draw(self, usable, excluded):
        if not usable:
            return None
        for _ in range(_SAMPLE_TRIES):
            replica = self._random.choice(usable)
            if replica.peer not in excluded:
                return replica
        left = [replica for replica in usable if replica.peer not in excluded]
        return self._random.choice(left) if left else None


class PlainRendezvous(RoutingPolicy):
    """The first usable replica in the adapter's ranking, however busy."""

    def __init__(self, random_source):
        self._without_affinity = LeastLoaded(random_source)

    def choose(self, pool, adapter, excluded, now):
        """Choose the first of the ranking."""
        if adapter is not None:
            for _, replica in pool.get_ranking(adapter):
                if replica.usable and replica.peer not in excluded:
                    return replica
        return self._without_affinity.choose(pool, adapter, excluded, now)


class AdapterAffinity(RoutingPolicy):
    """Replicas that have the adapter, then the first of its ranking.

    How many are considered grows with the adapter's recent load. As long as so many
    report the adapter and have room in their batch, the least loaded of these is
    taken; else the lesser loaded of the first of the ranking, one more than the
    adapter's load asks for. Requests leave them only if they are several batches
    behind others.

    Parameters
    ----------
    random_source : random.Random
        Draws the two that are compared.
    settings : DirectorySettings
        Bounds.
    popularity : AdapterPopularity
        Recent load of the adapters.
    """

    def __init__(self, random_source, settings, popularity):
        self._random = random_source
        self._settings = settings
        self._popularity = popularity
        self._least_loaded = LeastLoaded(random_source)

    def choose(self, pool, adapter, excluded, now):
        """Choose among the adapter's replicas, or spill over."""
        if adapter is None:
            return self._least_loaded.choose(pool, adapter, excluded, now)
        width = self._get_width(adapter, now)
        considered = width + _SPARE_RANKS
        ranked = self._get_ranked(pool, adapter, excluded, considered + _SPILL_RANKS)
        if not ranked:
            return self._least_loaded.choose(pool, adapter, excluded, now)
        ready = self._list_ready(pool, ranked, adapter, now)
        if len(ready) >= width:
            return min(ready, key=lambda found: pool.get_load(found, now))
        preferred = ranked[:considered]
        spare = preferred[width:]
        if len(preferred) > 2:
            preferred = self._random.sample(preferred, 2)
        margin = self._settings.spare_margin
        best = min(
            preferred,
            key=lambda found: (
                self._cost(pool, found, adapter, now) + margin * (found in spare)
            ),
        )
        if pool.get_load(best, now) < self._settings.spill_load:
            return best
        return self._spill(pool, best, ranked[considered:], adapter, excluded, now)

    @staticmethod
    def _get_ranked(pool, adapter, excluded, count):
        ranked = []
        for _, replica in pool.get_ranking(adapter):
            if replica.usable and replica.peer not in excluded:
                ranked.append(replica)
                if len(ranked) == count:
                    break
        return ranked

    def _list_ready(self, pool, ranked, adapter, now):
        """Return the replicas that can start a request at once."""
        return [
            found
            for found in ranked
            if adapter in found.resident
            and pool.get_load(found, now) < self._settings.resident_load
        ]

    def _get_width(self, adapter, now):
        recent = self._popularity.note_request(adapter, now)
        width = 1 + int(recent / self._settings.requests_per_width)
        return min(width, self._settings.maximum_width)

    def _cost(self, pool, replica, adapter, now):
        load = pool.get_load(replica, now)
        resident = adapter in replica.resident
        return load - self._settings.resident_bonus if resident else load

    def _spill(self, pool, best, further, adapter, excluded, now):
        # The next of the ranking come first, so that those that spill over meet
        # their adapter again.
        candidates = list(further)
        anywhere = self._least_loaded.choose(pool, adapter, excluded, now)
        if anywhere is not None:
            candidates.append(anywhere)
        limit = pool.get_load(best, now) - self._settings.spill_margin
        for candidate in candidates:
            if pool.get_load(candidate, now) <= limit:
                return candidate
        return best
