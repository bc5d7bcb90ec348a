"""What a holder does for entry processes that ask it for tokens."""

from collections import OrderedDict, deque
from dataclasses import dataclass
from datetime import timedelta

from balsamspoke_types.messages import TokensGranted

from .bucket import MICRO, Bucket, Hold

_REMEMBERED_ENDS = 4096
_MICROSECOND = timedelta(microseconds=1)


@dataclass(frozen=True, slots=True)
class _Lent:
    bucket: Bucket
    hold: Hold


class LoanBook:
    """Loans that this process has granted, by asker and the asker's number.

    Parameters
    ----------
    lifetime : timedelta
        After which a loan that was never ended is forgotten.
    """

    def __init__(self, lifetime):
        self._lifetime = lifetime
        self._lent = {}
        self._ages = deque()
        self._ended = OrderedDict()

    def __len__(self):
        return len(self._lent)

    def lend(self, key, ask, bucket, take, now):
        """Answer an ask; a repeated one gets the same answer.

        Parameters
        ----------
        key : tuple of ProcessId and int
            Asker and number.
        ask : ReserveTokens
            What is asked for.
        bucket : Bucket or None
            None if this process may not grant.
        take : callable
            Takes up to a number of tokens; returns a Hold or None.
        now : timedelta
            Monotonic time.
        """
        self._forget(now)
        if key in self._ended or bucket is None:
            return TokensGranted(ask.reservation, 0)
        lent = self._lent.get(key)
        if lent is None:
            hold = take(ask.amount)
            if hold is None:
                return _answer(ask, bucket, 0)
            lent = _Lent(bucket, hold)
            self._lent[key] = lent
            self._ages.append((now, key))
        return _answer(ask, bucket, lent.hold.amount // MICRO)

    def end(self, key, unused, now):
        """End a loan, also one whose ask comes later."""
        self._ended[key] = None
        if len(self._ended) > _REMEMBERED_ENDS:
            self._ended.popitem(last=False)
        lent = self._lent.pop(key, None)
        if lent is not None:
            unused = max(0, unused) * MICRO
            lent.bucket.give_back(lent.hold, unused, now // _MICROSECOND)

    def _forget(self, now):
        while self._ages and now - self._ages[0][0] > self._lifetime:
            _, key = self._ages.popleft()
            self.end(key, 0, now)


def _answer(ask, bucket, granted):
    missing = ask.amount - granted
    if not missing:
        return TokensGranted(ask.reservation, granted, timedelta(0))
    wait = bucket.time_until(missing * MICRO) or 0
    capacity = bucket.capacity // MICRO
    return TokensGranted(ask.reservation, granted, wait * _MICROSECOND, capacity)
