"""Reservations: tokens that are set aside for one request."""

from dataclasses import dataclass

from balsamspoke_types.identifiers import ProcessId
from balsamspoke_types.messages import ReturnTokens

from .bucket import MICRO


@dataclass(frozen=True, slots=True)
class Loan:
    """Tokens that another process granted to this one.

    Attributes
    ----------
    holder : ProcessId
        The process that granted them.
    number : int
        This process's number of the loan, as in ReserveTokens.
    amount : int
        Tokens.
    """

    holder: ProcessId
    number: int
    amount: int


class Reservation:
    """Tokens of a team's budget that a request may use.

    Parameters
    ----------
    team : str
        Name of the team.
    amount : int
        Tokens reserved.
    budgets : TeamBudgets
        Provides the clock and sends messages.
    bucket : Bucket or None
        Local bucket that tokens were taken from.
    hold : Hold or None
        Tokens taken from the local bucket.
    loans : tuple of Loan
        Tokens granted by other processes.

    Attributes
    ----------
    team : str
        Name of the team.
    amount : int
        Tokens reserved.
    """

    __slots__ = (
        "_bucket",
        "_budgets",
        "_hold",
        "_is_settled",
        "_loans",
        "amount",
        "team",
    )

    def __init__(self, team, amount, budgets, bucket=None, hold=None, loans=()):
        self.team = team
        self.amount = amount
        self._budgets = budgets
        self._bucket = bucket
        self._hold = hold
        self._loans = loans
        self._is_settled = False

    def with_loans(self, amount, loans):
        """Return a reservation that replaces this one.

        Parameters
        ----------
        amount : int
            Tokens of the new reservation, including the loans.
        loans : tuple of Loan
            Loans of the new reservation.
        """
        return Reservation(
            self.team, amount, self._budgets, self._bucket, self._hold, loans
        )

    def settle(self, used):
        """End the reservation and return the unused tokens; idempotent.

        Tokens from the local bucket count as used before those of loans.

        Parameters
        ----------
        used : int
            Tokens used; more than ``amount`` counts as ``amount``.
        """
        if self._is_settled:
            return
        self._is_settled = True
        if self._hold is not None:
            held = self._hold.amount // MICRO
            unused = max(0, held - used)
            used = max(0, used - held)
            now = self._budgets.read_microseconds()
            self._bucket.give_back(self._hold, unused * MICRO, now)
        for loan in self._loans:
            unused = max(0, loan.amount - used)
            used = max(0, used - loan.amount)
            self._budgets.send(loan.holder, ReturnTokens(loan.number, unused))
