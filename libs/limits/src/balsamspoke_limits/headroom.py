"""Smallest headroom of a token bucket since each of its open holds began."""

from bisect import bisect_right

# Steps allowed besides two per open hold, so that not every new hold merges them.
_SPARE_STEPS = 16


class HeadroomHistory:
    """Smallest headroom of a bucket since the start of each open hold.

    Headroom is capacity minus level, in millionths of a token.

    Notes
    -----
    The smallest headroom since the start of a hold is at least as large as that since
    the start of any earlier hold. So it is stored as steps: the sequence number of the
    first hold for which it is larger, and by how much. The last step that applies to a
    hold is found by bisection, and the sizes, a plain list of integers, are summed up
    to that step.
    """

    __slots__ = ("_last", "_open", "_sizes", "_starts", "_total")

    def __init__(self):
        self._open = {}
        self._last = 0
        self._clear()

    def __len__(self):
        return len(self._open)

    def begin(self, hold, headroom):
        """Start to track a hold; set its ``sequence`` attribute.

        Parameters
        ----------
        hold : Hold
            Passed to ``end`` later.
        headroom : int
            Current headroom, at least the one recorded last.
        """
        if not self._open:
            self._clear()
        elif len(self._starts) > 2 * len(self._open) + _SPARE_STEPS:
            self._merge()
        self._last += 1
        hold.sequence = self._last
        self._open[self._last] = hold
        if headroom > self._total:
            self._starts.append(self._last)
            self._sizes.append(headroom - self._total)
            self._total = headroom

    def record(self, headroom):
        """Record the current headroom."""
        if self._total > headroom:
            self._lower(len(self._starts), self._total - headroom)

    def end(self, hold, wanted):
        """Stop tracking a hold and return the credit that fits into the bucket.

        The credit counts as if the bucket had had it since ``begin``, so it lowers
        the headroom recorded since then.

        Parameters
        ----------
        hold : Hold
            An open hold.
        wanted : int
            Largest credit.

        Returns
        -------
        int
            The credit: at most the smallest headroom since ``begin``.
        """
        del self._open[hold.sequence]
        count = bisect_right(self._starts, hold.sequence)
        credit = min(wanted, sum(self._sizes[:count]))
        self._lower(count, credit)
        return credit

    def _lower(self, count, amount):
        """Subtract an amount from the first ``count`` steps, the last one first."""
        self._total -= amount
        end = count
        while amount:
            size = self._sizes[count - 1]
            if size > amount:
                self._sizes[count - 1] = size - amount
                break
            amount -= size
            count -= 1
        del self._starts[count:end]
        del self._sizes[count:end]

    def _clear(self):
        self._starts = []
        self._sizes = []
        self._total = 0

    def _merge(self):
        """Merge the steps between which no open hold began."""
        starts, sizes = self._starts, self._sizes
        self._clear()
        begin = 0
        for sequence in self._open:
            end = bisect_right(starts, sequence)
            if end > begin:
                self._starts.append(sequence)
                self._sizes.append(sum(sizes[begin:end]))
                begin = end
        self._total = sum(self._sizes)
