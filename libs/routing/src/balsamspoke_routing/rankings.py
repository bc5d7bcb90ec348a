"""Rankings of replicas for hash buckets of adapters, by rendezvous hashing."""

import heapq

import xxhash

# A ranking that is this many changes behind is computed anew.
_MAX_KEPT_CHANGES = 64


class _Ranking:
    """The best replicas of a bucket: all that score at least ``minimum_score``.

    Attributes
    ----------
    applied_changes : int
        Number of the last change of the replicas that was applied.
    scored : list of (int, Replica)
        Scores and replicas, the highest score first.
    minimum_score : int
        Score down to which the ranking is complete; 0 if it has all replicas.
    """

    __slots__ = ("applied_changes", "minimum_score", "scored")

    def __init__(self, applied_changes, scored, minimum_score):
        self.applied_changes = applied_changes
        self.scored = scored
        self.minimum_score = minimum_score


class RendezvousRankings:
    """The best replicas for each hash bucket of adapters.

    Adapters are hashed into a fixed number of buckets that share a ranking, so that
    neither memory nor hashing grows with the number of adapters. A cached ranking is
    updated by the changes of the replicas since it was computed, at the cost of one
    hash for each replica that was added.

    Parameters
    ----------
    buckets : int
        Number of hash buckets of adapters.
    length : int
        Most replicas in a ranking.
    """

    def __init__(self, buckets, length):
        self._buckets = buckets
        self._length = length
        self._replicas = {}
        self._rankings = {}
        # Replicas that were added or removed, by change number; only the last ones.
        self._changes = {}
        self._change_count = 0

    def add(self, replica):
        """Add a replica to all rankings."""
        self._replicas[replica.peer] = replica
        self._record_change(replica)

    def remove(self, peer):
        """Remove the replica of a ProcessId from all rankings."""
        self._record_change(self._replicas.pop(peer))

    def get(self, adapter):
        """Return the best replicas for an AdapterRef, the best first.

        Returns
        -------
        list of (int, Replica)
            Scores and replicas; at most ``length``, and at least half of it unless
            there are fewer replicas.
        """
        text = f"{adapter.adapter}:{adapter.version}".encode()
        bucket = xxhash.xxh64_intdigest(text) % self._buckets
        ranking = self._rankings.get(bucket)
        if ranking is not None and self._update(bucket, ranking):
            return ranking.scored
        scored = self._compute_ranking(bucket)
        is_all = len(scored) == len(self._replicas)
        minimum_score = 0 if is_all else scored[-1][0]
        self._rankings[bucket] = _Ranking(self._change_count, scored, minimum_score)
        return scored

    def _record_change(self, replica):
        self._change_count += 1
        self._changes[self._change_count] = replica
        self._changes.pop(self._change_count - _MAX_KEPT_CHANGES, None)

    def _update(self, bucket, ranking):
        """Apply later changes; return whether the ranking is still usable."""
        unapplied = range(ranking.applied_changes + 1, self._change_count + 1)
        if not unapplied:
            return True
        if len(unapplied) >= _MAX_KEPT_CHANGES:
            return False
        for number in unapplied:
            replica = self._changes[number]
            if self._replicas.get(replica.peer) is replica:
                self._insert(bucket, ranking, replica)
            elif not self._remove_entry(ranking, replica):
                return False
        ranking.applied_changes = self._change_count
        return True

    def _insert(self, bucket, ranking, replica):
        entry = (replica.score(_encode_bucket(bucket)), replica)
        if entry[0] < ranking.minimum_score or entry in ranking.scored:
            return
        ranking.scored.append(entry)
        ranking.scored.sort(key=_get_score, reverse=True)
        if len(ranking.scored) > self._length:
            ranking.scored.pop()
            ranking.minimum_score = _get_score(ranking.scored[-1])

    def _remove_entry(self, ranking, replica):
        """Remove a replica; return whether the ranking is still long enough."""
        ranking.scored[:] = [
            entry for entry in ranking.scored if entry[1] is not replica
        ]
        return ranking.minimum_score == 0 or len(ranking.scored) >= self._length // 2

    def _compute_ranking(self, bucket):
        key = _encode_bucket(bucket)
        scored = [(replica.score(key), replica) for replica in self._replicas.values()]
        return heapq.nlargest(self._length, scored, key=_get_score)


def _encode_bucket(bucket):
    return bucket.to_bytes(8, "big")


def _get_score(entry):
    return entry[0]
