"""Tokens set aside for one request."""

from dataclasses import dataclass

from balsamspoke_types.identifiers import ProcessId
from balsamspoke_types.messages import ReturnTokens

from .bucket import MICRO


@dataclass(frozen=True, slots=True)
class Loan:
    """Tokens that another holder granted under a number of ours."""

    holder: ProcessId
    number: int
    amount: int


class Reservation:
    """Tokens of a team's budget that a request may use.

    Attributes
    ----------
    team : str
        Whose budget.
    amount : int
        Tokens.
    """

    __slots__ = (
        "_bucket",
        "_hold",
        "_is_settled",
        "_lender",
        "_loans",
        "amount",
        "team",
    )

    def __init__(self, team, amount, lender, bucket=None, hold=None, loans=()):
        self.team = team
        self.amount = amount
        self._lender = lender
        self._bucket = bucket
        self._hold = hold
        self._loans = loans
        self._is_settled = False

    def extend(self, amount, loans):
        """Return a reservation that replaces this one, with loans added."""
        return Reservation(
            self.team, amount, self._lender, self._bucket, self._hold, loans
        )

    def settle(self, used):
        """End the reservation and give back what wasn't used; idempotent.

        Parameters
        ----------
        used : int
            Tokens used; more than the amount counts as the amount.
        """
        if self._is_settled:
            return
        self._is_settled = True
        if self._hold is not None:
            held = self._hold.amount // MICRO
            unused = max(0, held - used)
            used = max(0, used - held)
            now = self._lender.read_clock()
            self._bucket.give_back(self._hold, unused * MICRO, now)
        for loan in self._loans:
            unused = max(0, loan.amount - used)
            used = max(0, used - loan.amount)
            self._lender.send(loan.holder, ReturnTokens(loan.number, unused))
