"""Least headroom of a bucket since each open reservation."""

from bisect import bisect_right

_LEAST_SIZE = 16


class HeadroomHistory:
    """The least headroom since each of a number of moments.

    The least headroom never falls from an earlier moment to a later one, so
    the differences between neighbours are kept, in a Fenwick tree.
    """

    def __init__(self):
        self._reset(_LEAST_SIZE)

    def _reset(self, size):
        self._size = size
        self._tree = [0] * (size + 1)
        self._differences = {}
        self._nonzero = []
        self._open = {}
        self._next = 0
        self._total = 0

    def __len__(self):
        return len(self._open)

    def begin(self, mark, headroom):
        """Start to watch from now on; set ``mark.slot``.

        Parameters
        ----------
        mark : object
            Its ``slot`` attribute is maintained until ``end``.
        headroom : int
            Headroom now, not less than the last one noted.
        """
        if not self._open:
            self._reset(_LEAST_SIZE)
        elif self._next == self._size:
            self._rebuild()
        self._append(mark, headroom)

    def _append(self, mark, headroom):
        mark.slot = self._next
        self._open[self._next] = mark
        self._next += 1
        self._add(mark.slot, headroom - self._total)

    def note(self, headroom):
        """Note the headroom now."""
        while self._nonzero and self._total > headroom:
            last = self._nonzero[-1]
            self._add(last, -min(self._differences[last], self._total - headroom))

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
        credit = min(wanted, self._sum(mark.slot))
        self._lessen(mark.slot, credit)
        return credit

    def _lessen(self, slot, amount):
        position = bisect_right(self._nonzero, slot) - 1
        while amount:
            nearest = self._nonzero[position]
            part = min(amount, self._differences[nearest])
            self._add(nearest, -part)
            amount -= part
            position -= 1

    def _add(self, slot, change):
        if not change:
            return
        self._total += change
        before = self._differences.get(slot, 0)
        if not before:
            self._nonzero.insert(bisect_right(self._nonzero, slot), slot)
        elif before + change == 0:
            del self._nonzero[bisect_right(self._nonzero, slot) - 1]
        self._differences[slot] = before + change
        index = slot + 1
        while index <= self._size:
            self._tree[index] += change
            index += index & -index

    def _sum(self, slot):
        index = slot + 1
        total = 0
        while index:
            total += self._tree[index]
            index &= index - 1
        return total

    def _rebuild(self):
        kept = [(mark, self._sum(slot)) for slot, mark in self._open.items()]
        size = _LEAST_SIZE
        while size < 2 * len(kept):
            size *= 2
        self._reset(size)
        for mark, headroom in kept:
            self._append(mark, headroom)
