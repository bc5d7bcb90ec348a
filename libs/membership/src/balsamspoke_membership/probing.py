"""Choose whom to probe, so that each peer's turn comes within a bound."""


class ProbeRounds:
    """Rounds over all peers in random order.

    Parameters
    ----------
    random_source : random.Random
        Orders each round.

    Notes
    -----
    With ``n`` peers and ``k`` probes at a time, a peer that stays is probed again
    after at most ``2 * ceil(n / k)`` draws.
    """

    def __init__(self, random_source):
        self._random = random_source
        self._round = []

    def draw(self, peers, count):
        """Return at most ``count`` of the peers, those of this round first."""
        present = set(peers)
        self._round = [peer for peer in self._round if peer in present]
        if len(present) <= count:
            self._round = []
            return sorted(present)
        drawn = []
        while len(drawn) < count:
            if not self._round:
                self._round = sorted(present.difference(drawn))
                self._random.shuffle(self._round)
            drawn.append(self._round.pop())
        return drawn
