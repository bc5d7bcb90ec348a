"""Sets of prompt parts as integers, and many of them at once.

After a crash under load there are tens of thousands of sets to compare. In the integer
of a set each part has a bit; in a mask, also an integer, each set of a collection has
one.
"""


class PartNumbers:
    """Bits of the parts in the integers that stand for sets of them."""

    def __init__(self):
        self._bits = {}

    def encode(self, parts):
        """Return the integer of a set of parts (by id), with new bits for new parts."""
        bits = self._bits
        number = 0
        for each in parts:
            bit = bits.get(each)
            if bit is None:
                bit = bits[each] = 1 << len(bits)
            number |= bit
        return number

    def encode_known(self, parts):
        """Return the integer of those parts (by id) that have a bit."""
        bits = self._bits
        number = 0
        for each in parts:
            number |= bits.get(each, 0)
        return number

    def decode(self, number):
        """Return the frozenset of parts (by id) that an integer stands for."""
        return frozenset(each for each, bit in self._bits.items() if bit & number)


def list_bits(number):
    """Return the bits of an integer, each as an integer."""
    bits = []
    while number:
        bit = number & -number
        bits.append(bit)
        number ^= bit
    return bits


class SetCollection:
    """Sets of parts (integers), each with a number, and masks of them.

    Parameters
    ----------
    sets : iterable of int
        The sets; their numbers are 0, 1, 2 and so on.

    Attributes
    ----------
    everything : int
        Mask of all sets.
    """

    def __init__(self, sets=()):
        self._sets = []
        self._by_part = {}
        self.everything = 0
        for each in sets:
            self.add(each)

    def add(self, parts):
        """Add a set."""
        bit = 1 << len(self._sets)
        self._sets.append(parts)
        self.everything |= bit
        for part in list_bits(parts):
            self._by_part[part] = self._by_part.get(part, 0) | bit

    def select(self, mask):
        """Return a list of the sets of a mask."""
        return [self._sets[bit.bit_length() - 1] for bit in list_bits(mask)]

    def find_supersets(self, parts):
        """Return the mask of the sets that have all of some parts."""
        found = self.everything
        for part in list_bits(parts):
            found &= self._by_part.get(part, 0)
        return found

    def find_subsets(self, parts):
        """Return the mask of the sets that have no other than some parts."""
        others = 0
        for part, mask in self._by_part.items():
            if not part & parts:
                others |= mask
        return self.everything & ~others


def list_largest(sets):
    """Return the sets (integers) that are no part of another one, largest first."""
    found = SetCollection()
    for parts in sorted(sets, key=int.bit_count, reverse=True):
        if not found.find_supersets(parts):
            found.add(parts)
    return found.select(found.everything)
