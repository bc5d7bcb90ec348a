"""Loans that a holder grants to other entry processes."""

from collections import OrderedDict, deque
from dataclasses import dataclass
from datetime import timedelta

from balsamspoke_types.messages import TokensGranted

from .bucket import MICRO, Bucket, Hold

# Ended loans are remembered, so that late or repeated requests take no tokens.
_MAX_ENDED_LOANS = 4096
_MICROSECOND = timedelta(microseconds=1)


@dataclass(frozen=True, slots=True)
class _GrantedLoan:
    bucket: Bucket
    hold: Hold


class LoanBook:
    """Open loans that this process has granted, by borrower and loan number.

    Parameters
    ----------
    lifetime : timedelta
        Time after which a loan that the borrower never ended is ended, with all its
        tokens counted as used.
    """

    def __init__(self, lifetime):
        self._lifetime = lifetime
        self._open = {}
        self._granted_at = deque()
        self._ended = OrderedDict()

    def __len__(self):
        return len(self._open)

    def lend(self, key, request, bucket, take, now):
        """Grant tokens for a loan request; idempotent by key.

        A repeated request gets the same amount again and takes no more tokens.

        Parameters
        ----------
        key : tuple of ProcessId and int
            The borrower and its number of the loan.
        request : ReserveTokens
            The loan request.
        bucket : Bucket or None
            The team's bucket; None if this process may not grant from it.
        take : callable
            Called with a number of tokens; takes at most as many from the bucket and
            returns a Hold, or None if there are none.
        now : timedelta
            Monotonic time.

        Returns
        -------
        TokensGranted
            The answer to send to the borrower.
        """
        self._expire(now)
        if key in self._ended or bucket is None:
            return TokensGranted(request.reservation, 0)
        loan = self._open.get(key)
        if loan is None:
            hold = take(request.amount)
            if hold is None:
                return _make_answer(request, bucket, 0)
            loan = _GrantedLoan(bucket, hold)
            self._open[key] = loan
            self._granted_at.append((now, key))
        return _make_answer(request, bucket, loan.hold.amount // MICRO)

    def end(self, key, unused, now):
        """End a loan and refund its unused tokens.

        A loan may be ended before its request arrives; the request then gets no tokens.

        Parameters
        ----------
        key : tuple of ProcessId and int
            The borrower and its number of the loan.
        unused : int
            Tokens; negative counts as zero.
        now : timedelta
            Monotonic time.
        """
        self._ended[key] = None
        if len(self._ended) > _MAX_ENDED_LOANS:
            self._ended.popitem(last=False)
        loan = self._open.pop(key, None)
        if loan is not None:
            unused = max(0, unused) * MICRO
            loan.bucket.give_back(loan.hold, unused, now // _MICROSECOND)

    def _expire(self, now):
        while self._granted_at and now - self._granted_at[0][0] > self._lifetime:
            _, key = self._granted_at.popleft()
            self.end(key, 0, now)


def _make_answer(request, bucket, granted):
    missing = request.amount - granted
    if not missing:
        return TokensGranted(request.reservation, granted, timedelta(0))
    wait = bucket.time_until(missing * MICRO) or 0
    capacity = bucket.capacity // MICRO
    return TokensGranted(request.reservation, granted, wait * _MICROSECOND, capacity)
