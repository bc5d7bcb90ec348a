"""Choice of the peers to probe in each round, with a bound on each peer's wait."""


class ProbeRounds:
    """Draw peers in passes over all of them, each in a new random order.

    Parameters
    ----------
    random_source : random.Random
        Source of the shuffles.

    Notes
    -----
    With ``n`` peers and ``k`` of them in each draw, a peer that stays present is drawn
    again after at most ``2 * ceil(n / k)`` draws.
    """

    def __init__(self, random_source):
        self._random = random_source
        self._remaining = []

    def draw(self, peers, count):
        """Return ``count`` of the peers, or all if there are fewer.

        Parameters
        ----------
        peers : iterable
            All present peers; sortable.
        count : int
            Most peers to return.
        """
        present = set(peers)
        self._remaining = [peer for peer in self._remaining if peer in present]
        if len(present) <= count:
            self._remaining = []
            return sorted(present)
        drawn = []
        while len(drawn) < count:
            if not self._remaining:
                self._remaining = sorted(present.difference(drawn))
                self._random.shuffle(self._remaining)
            drawn.append(self._remaining.pop())
        return drawn
