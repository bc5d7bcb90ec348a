"""A token bucket that takes back unused tokens without breaking its bound."""

from .headroom import HeadroomHistory

MICRO = 1_000_000
"""Parts of a token, and microseconds of a second."""


class Hold:
    """Tokens taken from a bucket; in millionths of a token."""

    __slots__ = ("amount", "slot")

    def __init__(self, amount):
        self.amount = amount
        self.slot = 0


class Bucket:
    """A token bucket in whole millionths of a token and whole microseconds.

    Parameters
    ----------
    rate : float
        Tokens a second, never negative.
    capacity, level : int
        Millionths of a token.
    now : int
        Microseconds on the process's monotonic clock.

    Notes
    -----
    Tokens used by what was taken in any window are at most rate x window +
    capacity: what is given back is credited as if it had never been taken,
    less what would have run over since.
    """

    __slots__ = ("_history", "_updated", "capacity", "level", "rate")

    def __init__(self, rate, capacity, level, now):
        self.rate = rate
        self.capacity = capacity
        self.level = min(level, capacity)
        self._updated = now
        self._history = HeadroomHistory()

    @property
    def open_holds(self):
        """Holds not given back."""
        return len(self._history)

    def refill(self, now):
        """Let time pass until a number of microseconds."""
        gained = int(self.rate * (now - self._updated))
        if gained > 0:
            self._updated = now
            self.level = min(self.capacity, self.level + gained)

    def take(self, most, now):
        """Take as much as there is, up to ``most`` (above zero).

        Returns
        -------
        Hold or None
            None if there is nothing.
        """
        self.refill(now)
        amount = min(most, self.level)
        if amount <= 0:
            return None
        self._history.note(self.capacity - self.level)
        self.level -= amount
        hold = Hold(amount)
        self._history.begin(hold, self.capacity - self.level)
        return hold

    def give_back(self, hold, unused, now):
        """End a hold, which may be done once; credit its unused part."""
        self.refill(now)
        self._history.note(self.capacity - self.level)
        self.level += self._history.end(hold, min(unused, hold.amount))

    def resize(self, rate, capacity, now):
        """Change rate and capacity; what is over the new capacity is lost.

        Time since the last call counts at the lower rate, since the change may
        have come into force at any moment of it.
        """
        self.rate = min(self.rate, rate)
        self.refill(now)
        self._updated = now
        self._history.note(self.capacity - self.level)
        self.rate = rate
        self.capacity = capacity
        self.level = min(self.level, capacity)
        self._history.note(capacity - self.level)

    def time_until(self, amount):
        """Return microseconds until the level reaches an amount; None if never."""
        if amount > self.capacity or self.rate <= 0:
            return None
        return max(0, int((amount - self.level) / self.rate) + 1)
