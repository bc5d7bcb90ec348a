"""Routing policies: adapter affinity and the baselines it is compared with."""

from abc import ABC, abstractmethod

from balsamspoke_gateway.adapters.popularity import AdapterPopularity

# Random picks that may hit an excluded replica before the others are listed.
_SAMPLE_TRIES = 8
_SPARE_REPLICAS = 1
_SPILL_REPLICAS = 1


class RoutingPolicy(ABC):
    """Interface of a policy that chooses one usable replica of a pool.

    Attributes
    ----------
    entry_count : int
        Entry processes that share the requests.
    """

    entry_count = 1

    @abstractmethod
    def choose(self, pool, adapter, excluded, now):
        """Choose a replica.

        Parameters
        ----------
        pool : ReplicaPool
            Replicas of the requested service.
        adapter : AdapterRef or None
            Adapter that the request needs; None if it needs none.
        excluded : frozenset of ProcessId
            Replicas that must not be chosen.
        now : timedelta
            Monotonic time.

        Returns
        -------
        Replica or None
            The chosen replica; None if no usable replica remains.
        """


class RoundRobin(RoutingPolicy):
    """Choose the usable replicas in rotation."""

    def __init__(self):
        self._position = 0

    def choose(self, pool, adapter, excluded, now):
        """Choose the next usable replica that isn't excluded."""
        usable = pool.get_usable()
        for _ in usable:
            self._position += 1
            replica = usable[self._position % len(usable)]
            if replica.peer not in excluded:
                return replica
        return None


class LeastLoaded(RoutingPolicy):
    """Choose the less loaded of two random replicas (power of two choices).

    Parameters
    ----------
    random_source : random.Random
        Source of the random samples.
    """

    def __init__(self, random_source):
        self._random = random_source

    def choose(self, pool, adapter, excluded, now):
        """Choose the less loaded of two random usable replicas."""
        usable = pool.get_usable()
        first = self._pick_random(usable, excluded)
        if first is None:
            return None
        second = self._pick_random(usable, excluded | {first.peer})
        if second is None:
            return first
        return min(first, second, key=lambda replica: pool.get_load(replica, now))

    def _pick_random(self, usable, excluded):
        if not usable:
            return None
        for _ in range(_SAMPLE_TRIES):
            replica = self._random.choice(usable)
            if replica.peer not in excluded:
                return replica
        remaining = [replica for replica in usable if replica.peer not in excluded]
        return self._random.choice(remaining) if remaining else None


class PlainRendezvous(RoutingPolicy):
    """Choose the first usable replica in the adapter's ranking, whatever its load.

    Requests without an adapter, or whose ranking has no usable replica, go to the
    less loaded of two random replicas.

    Parameters
    ----------
    random_source : random.Random
        Source of the random samples of the fallback.
    """

    def __init__(self, random_source):
        self._without_affinity = LeastLoaded(random_source)

    def choose(self, pool, adapter, excluded, now):
        """Choose the first usable replica of the ranking."""
        if adapter is not None:
            for _, replica in pool.get_ranking(adapter):
                if replica.is_usable and replica.peer not in excluded:
                    return replica
        return self._without_affinity.choose(pool, adapter, excluded, now)


class AdapterAffinity(RoutingPolicy):
    """Prefer replicas that have the adapter loaded, then those ranked first for it.

    The adapter's spread, the number of replicas that its requests are spread over,
    grows with its recent request rate. If at least that many of the first ranked
    replicas report the adapter and have room in their batch, the least loaded of
    these is chosen. Otherwise the less loaded of two random ones among the first
    ranked replicas is chosen; one spare replica beyond the spread takes part in this
    comparison. Requests spill over to other replicas only if the chosen one has a
    backlog of several batches and another one is clearly less loaded.

    Parameters
    ----------
    random_source : random.Random
        Source of the random samples.
    settings : DirectorySettings
        Thresholds for spread, residency and spillover.
    """

    def __init__(self, random_source, settings):
        self._random = random_source
        self._settings = settings
        self._popularity = AdapterPopularity(
            settings.adapter_half_life, settings.tracked_adapters
        )
        self._least_loaded = LeastLoaded(random_source)

    def choose(self, pool, adapter, excluded, now):
        """Choose among the adapter's replicas, or spill over if they are overloaded."""
        if adapter is None:
            return self._least_loaded.choose(pool, adapter, excluded, now)
        spread = self._get_spread(adapter, now)
        considered = spread + _SPARE_REPLICAS
        ranked = self._list_ranked(
            pool, adapter, excluded, considered + _SPILL_REPLICAS
        )
        if not ranked:
            return self._least_loaded.choose(pool, adapter, excluded, now)
        ready = self._list_ready(pool, ranked, adapter, now)
        if len(ready) >= spread:
            return min(ready, key=lambda replica: pool.get_load(replica, now))
        preferred = ranked[:considered]
        spares = preferred[spread:]
        if len(preferred) > 2:
            preferred = self._random.sample(preferred, 2)
        margin = self._settings.spare_margin
        best = min(
            preferred,
            key=lambda replica: (
                self._get_cost(pool, replica, adapter, now)
                + margin * (replica in spares)
            ),
        )
        if pool.get_load(best, now) < self._settings.spill_load:
            return best
        return self._choose_spill_target(
            pool, best, ranked[considered:], adapter, excluded, now
        )

    @staticmethod
    def _list_ranked(pool, adapter, excluded, count):
        ranked = []
        for _, replica in pool.get_ranking(adapter):
            if replica.is_usable and replica.peer not in excluded:
                ranked.append(replica)
                if len(ranked) == count:
                    break
        return ranked

    def _list_ready(self, pool, ranked, adapter, now):
        """Return the replicas that can start a request without loading or queueing."""
        return [
            replica
            for replica in ranked
            if adapter in replica.resident_adapters
            and pool.get_load(replica, now) < self._settings.resident_load
        ]

    def _get_spread(self, adapter, now):
        # Each process counts only its own requests.
        recent = self.entry_count * self._popularity.count_request(adapter, now)
        spread = 1 + int(recent / self._settings.requests_per_replica)
        return min(spread, self._settings.maximum_spread)

    def _get_cost(self, pool, replica, adapter, now):
        load = pool.get_load(replica, now)
        is_resident = adapter in replica.resident_adapters
        return load - self._settings.resident_bonus if is_resident else load

    def _choose_spill_target(self, pool, best, next_ranked, adapter, excluded, now):
        # Try the next ranked replicas first, so that requests that spill over again
        # find the adapter already loaded.
        candidates = list(next_ranked)
        least_loaded = self._least_loaded.choose(pool, adapter, excluded, now)
        if least_loaded is not None:
            candidates.append(least_loaded)
        limit = pool.get_load(best, now) - self._settings.spill_margin
        for candidate in candidates:
            if pool.get_load(candidate, now) <= limit:
                return candidate
        return best
