"""Least headroom of a bucket since each open reservation."""

from bisect import bisect_right

_SPARE_STEPS = 16


class HeadroomHistory:
    """The least headroom since each of a number of moments.

    The least headroom never falls from an earlier moment to a later one, so it
    is kept as the steps by which it rises, in the order of the moments. A step
    is found by bisection; what is summed is a plain list of integers.
    """

    __slots__ = ("_last", "_open", "_sizes", "_slots", "_total")

    def __init__(self):
        self._open = {}
        self._last = 0
        self._clear()

    def __len__(self):
        return len(self._open)

    def begin(self, mark, headroom):
        """Start to watch from now on; set ``mark.slot``.

        Parameters
        ----------
        mark : object
            Passed to ``end``; its ``slot`` attribute is set.
        headroom : int
            Headroom now, not less than the last one noted.
        """
        if not self._open:
            self._clear()
        elif len(self._slots) > 2 * len(self._open) + _SPARE_STEPS:
            self._merge()
        self._last += 1
        mark.slot = self._last
        self._open[self._last] = mark
        if headroom > self._total:
            self._slots.append(self._last)
            self._sizes.append(headroom - self._total)
            self._total = headroom

    def note(self, headroom):
        """Note the headroom now."""
        if self._total > headroom:
            self._lower(len(self._slots), self._total - headroom)

    def end(self, mark, wanted):
        """Stop watching and give the credit that fits.

        The credit counts as if it had been there since ``begin``, so it
        lessens the headroom noted since then.

        Parameters
        ----------
        wanted : int
            The most to credit.

        Returns
        -------
        int
            The credit.
        """
        del self._open[mark.slot]
        count = bisect_right(self._slots, mark.slot)
        credit = min(wanted, sum(self._sizes[:count]))
        self._lower(count, credit)
        return credit

    def _lower(self, count, amount):
        """Take an amount off the last of the first ``count`` steps."""
        self._total -= amount
        end = count
        while amount:
            size = self._sizes[count - 1]
            if size > amount:
                self._sizes[count - 1] = size - amount
                break
            amount -= size
            count -= 1
        del self._slots[count:end]
        del self._sizes[count:end]

    def _clear(self):
        self._slots = []
        self._sizes = []
        self._total = 0

    def _merge(self):
        """Merge steps between which no moment is watched any more."""
        slots, sizes = self._slots, self._sizes
        self._clear()
        start = 0
        for slot in self._open:
            end = bisect_right(slots, slot)
            if end > start:
                self._slots.append(slot)
                self._sizes.append(sum(sizes[start:end]))
                start = end
        self._total = sum(self._sizes)
