"""A token bucket that accepts refunds without exceeding its rate and burst."""

from .headroom import HeadroomHistory

MICRO = 1_000_000
"""Millionths in a token; also microseconds in a second."""


class Hold:
    """Tokens taken from a bucket that may still be refunded.

    Attributes
    ----------
    amount : int
        Millionths of a token.
    sequence : int
        Number of the hold in its bucket; set by HeadroomHistory.
    """

    __slots__ = ("amount", "sequence")

    def __init__(self, amount):
        self.amount = amount
        self.sequence = 0


class Bucket:
    """A token bucket that counts in millionths of a token and in microseconds.

    Parameters
    ----------
    rate : float
        Tokens per second, not negative.
    capacity : int
        Largest level, in millionths of a token.
    level : int
        Initial level, in millionths of a token; limited to ``capacity``.
    now : int
        Microseconds on the monotonic clock of the process.

    Notes
    -----
    In any window of time, the tokens taken and not refunded are at most
    rate x window + capacity. A refund counts as if the tokens had never been taken:
    the part that would have overflowed the bucket since then isn't credited.
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
        """Number of holds that haven't ended."""
        return len(self._history)

    def refill(self, now):
        """Add the tokens gained until ``now``, in microseconds."""
        gained = int(self.rate * (now - self._updated))
        if gained > 0:
            self._updated = now
            self.level = min(self.capacity, self.level + gained)

    def take(self, most, now):
        """Take as much as is available, at most ``most``.

        Parameters
        ----------
        most : int
            Millionths of a token, above zero.
        now : int
            Microseconds on the monotonic clock.

        Returns
        -------
        Hold or None
            None if the bucket is empty.
        """
        self.refill(now)
        amount = min(most, self.level)
        if amount <= 0:
            return None
        self._history.record(self.capacity - self.level)
        self.level -= amount
        hold = Hold(amount)
        self._history.begin(hold, self.capacity - self.level)
        return hold

    def give_back(self, hold, unused, now):
        """End a hold and credit its unused part; call once for each hold.

        Parameters
        ----------
        hold : Hold
            An open hold of this bucket.
        unused : int
            Millionths of a token; more than the hold's amount counts as the amount.
        now : int
            Microseconds on the monotonic clock.
        """
        self.refill(now)
        self._history.record(self.capacity - self.level)
        self.level += self._history.end(hold, min(unused, hold.amount))

    def resize(self, rate, capacity, now):
        """Change rate and capacity; tokens above the new capacity are lost.

        The time since the last refill counts at the lower of the two rates, since
        the change may have come into force at any moment of it.
        """
        self.rate = min(self.rate, rate)
        self.refill(now)
        self._updated = now
        self._history.record(self.capacity - self.level)
        self.rate = rate
        self.capacity = capacity
        self.level = min(self.level, capacity)
        self._history.record(capacity - self.level)

    def time_until(self, amount):
        """Return the microseconds until the level reaches ``amount``.

        Returns
        -------
        int or None
            None if the amount exceeds the capacity or the rate is zero.
        """
        if amount > self.capacity or self.rate <= 0:
            return None
        return max(0, int((amount - self.level) / self.rate) + 1)
