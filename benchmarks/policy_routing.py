"""Choices of a replica for a request: baselines, and affinity by popularity."""

import hashlib
from abc import ABC, abstractmethod

HALF_LIFE_SECONDS = 20.0
WIDTH_REQUESTS = 90.0
SPILL_FACTOR = 4


class Router(ABC):
    """Choose a replica for a request."""

    @abstractmethod
    def choose(self, adapter, loads, now, holders):
        """Return an index.

        Parameters
        ----------
        adapter : AdapterRef
            What the request runs on.
        loads : dict of int to int
            Requests outstanding at each live replica.
        now : float
            Seconds.
        holders : list of int
            Live replicas that reported the adapter as loaded.
        """


class RoundRobin(Router):
    """Take turns."""

    def __init__(self):
        self._turn = 0

    def choose(self, adapter, loads, now, holders):
        """Return the next live replica."""
        self._turn += 1
        live = sorted(loads)
        return live[self._turn % len(live)]


class LeastLoaded(Router):
    """Take the replica with the fewest requests."""

    def choose(self, adapter, loads, now, holders):
        """Return the least loaded replica."""
        return min(loads, key=lambda index: (loads[index], index))


class Rendezvous(Router):
    """Take the replica that hashes highest with the adapter."""

    def choose(self, adapter, loads, now, holders):
        """Return the adapter's replica."""
        return rank_replicas(adapter, loads)[0]


class Affinity(Router):
    """Take the least loaded of an adapter's replicas; more for a popular one."""

    def __init__(self, batch_size):
        self._batch_size = batch_size
        self._popularity = {}

    def choose(self, adapter, loads, now, holders):
        """Return a holder, or one of as many as the adapter's popularity asks for."""
        width = 1 + int(self._count(adapter, now) / WIDTH_REQUESTS)
        ready = [index for index in holders if loads[index] < self._batch_size]
        if len(ready) >= width:
            return min(ready, key=loads.get)
        ranked = rank_replicas(adapter, loads)
        chosen = min(ranked[: width + 1], key=loads.get)
        if loads[chosen] < self._batch_size * SPILL_FACTOR:
            return chosen
        return min(ranked, key=loads.get)

    def _count(self, adapter, now):
        count, since = self._popularity.get(adapter, (0.0, now))
        count = count * 0.5 ** ((now - since) / HALF_LIFE_SECONDS) + 1
        self._popularity[adapter] = (count, now)
        return count


def rank_replicas(adapter, loads):
    """Return the live replicas by their rendezvous hash with an adapter."""
    return sorted(loads, key=lambda index: _hash(adapter, index))


def _hash(adapter, index):
    return hashlib.blake2b(f"{adapter}/{index}".encode(), digest_size=8).digest()
