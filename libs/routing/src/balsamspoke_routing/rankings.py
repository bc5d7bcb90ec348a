"""Rankings of replicas for groups of adapters, by rendezvous hashing."""

import heapq

import xxhash

_FOLLOWED_CHANGES = 64


class _Ranking:
    """The best replicas of a bucket: all whose score is at least ``floor``."""

    __slots__ = ("changes_seen", "floor", "scored")

    def __init__(self, changes_seen, scored, floor):
        self.changes_seen = changes_seen
        self.scored = scored
        self.floor = floor


class RendezvousRankings:
    """The first replicas of each group of adapters.

    Adapters share the rankings of a fixed number of groups, so that neither memory
    nor hashing grows with the number of adapters. A ranking that was computed is
    brought up to date by the changes since: one hash for a replica that was added.

    Parameters
    ----------
    buckets : int
        Groups of adapters.
    length : int
        Replicas in a ranking.
    """

    def __init__(self, buckets, length):
        self._buckets = buckets
        self._length = length
        self._replicas = {}
        self._rankings = {}
        # Changes by number, the last of them only.
        self._changes = {}
        self._change_count = 0

    def add(self, replica):
        """Take a replica in."""
        self._replicas[replica.peer] = replica
        self._note_change(replica)

    def remove(self, peer):
        """Drop a replica."""
        self._note_change(self._replicas.pop(peer))

    def get(self, adapter):
        """Return the first replicas for an AdapterRef, the best first.

        Each is a pair whose second item is the Replica.
        """
        text = f"{adapter.adapter}:{adapter.version}".encode()
        bucket = xxhash.xxh64_intdigest(text) % self._buckets
        ranking = self._rankings.get(bucket)
        if ranking is not None and self._bring_up_to_date(bucket, ranking):
            return ranking.scored
        scored = self._rank(bucket)
        is_all = len(scored) == len(self._replicas)
        floor = 0 if is_all else scored[-1][0]
        self._rankings[bucket] = _Ranking(self._change_count, scored, floor)
        return scored

    def _note_change(self, replica):
        self._change_count += 1
        self._changes[self._change_count] = replica
        self._changes.pop(self._change_count - _FOLLOWED_CHANGES, None)

    def _bring_up_to_date(self, bucket, ranking):
        """Apply the changes since; return whether the ranking is still good."""
        missed = range(ranking.changes_seen + 1, self._change_count + 1)
        if not missed:
            return True
        if len(missed) >= _FOLLOWED_CHANGES:
            return False
        for number in missed:
            replica = self._changes[number]
            if self._replicas.get(replica.peer) is replica:
                self._insert(bucket, ranking, replica)
            elif not self._drop(ranking, replica):
                return False
        ranking.changes_seen = self._change_count
        return True

    def _insert(self, bucket, ranking, replica):
        entry = (replica.score(_encode(bucket)), replica)
        if entry[0] < ranking.floor or entry in ranking.scored:
            return
        ranking.scored.append(entry)
        ranking.scored.sort(key=_get_score, reverse=True)
        if len(ranking.scored) > self._length:
            ranking.scored.pop()
            ranking.floor = _get_score(ranking.scored[-1])

    def _drop(self, ranking, replica):
        """Drop a replica; return whether enough of the others are known."""
        ranking.scored[:] = [
            entry for entry in ranking.scored if entry[1] is not replica
        ]
        return ranking.floor == 0 or len(ranking.scored) >= self._length // 2

    def _rank(self, bucket):
        key = _encode(bucket)
        scored = [(replica.score(key), replica) for replica in self._replicas.values()]
        return heapq.nlargest(self._length, scored, key=_get_score)


def _encode(bucket):
    return bucket.to_bytes(8, "big")


def _get_score(entry):
    return entry[0]
