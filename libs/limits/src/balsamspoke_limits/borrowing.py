"""Collection of a reservation's tokens from several holders."""

from datetime import timedelta

from balsamspoke_types.messages import ReserveTokens, ReturnTokens
from balsamspoke_types.outcomes import Cause

from .exceptions import BudgetRefused
from .reservations import Loan

_MIN_RETRY_DELAY = timedelta(milliseconds=1)


class LoanCollector:
    """Request loans from one holder after another until a reservation is complete.

    Parameters
    ----------
    reservation : Reservation
        Tokens taken from the local bucket, possibly none.
    wanted : int
        Tokens that the complete reservation needs.
    holders : list of ProcessId
        Holders to send loan requests to, in this order; entries are removed.
    borrower : Borrower
        Numbers the loan requests and sends them.
    result : Deferred
        Fires with the complete Reservation, or fails with BudgetRefused.
    rate : float
        The team's rate in tokens per second, for the retry delay of a refusal.
    """

    def __init__(self, reservation, wanted, holders, borrower, result, rate):
        self._team = reservation.team
        self._local = reservation
        self._wanted = wanted
        self._missing = wanted - reservation.amount
        self._holders = holders
        self._borrower = borrower
        self._result = result
        self._rate = rate
        self._loans = []
        self._has_answer = False
        self._started = borrower.clock.monotonic()
        self._holder = None
        self._number = None
        self._timer = None

    def request_next(self):
        """Request a loan from the next holder, or finish or refuse the reservation."""
        if self._is_late():
            self._refuse()
        elif not self._missing:
            self._finish()
        elif not self._holders:
            self._refuse()
        else:
            self._request(self._holders.pop(0))

    def handle_grant(self, holder, grant):
        """Process the answer to the open loan request; ignore any other.

        Parameters
        ----------
        holder : ProcessId
            Sender of the answer.
        grant : TokensGranted
            The answer.
        """
        if holder != self._holder or grant.reservation != self._number:
            return
        self._close_request()
        self._has_answer = True
        amount = min(grant.amount, self._missing)
        if amount > 0:
            self._loans.append(Loan(holder, grant.reservation, amount))
            self._missing -= amount
        if self._missing:
            self._borrower.mark_empty(holder, self._team, grant.missing_after)
        self.request_next()

    def _request(self, holder):
        self._holder = holder
        self._number = self._borrower.open_request(self)
        self._borrower.send(
            holder, ReserveTokens(self._number, self._team, self._missing)
        )
        wait = self._borrower.settings.loan_request_timeout
        self._timer = self._borrower.clock.call_later(
            wait, self._time_out_request, self._number
        )

    def _time_out_request(self, number):
        if number != self._number:
            return
        # The grant may still arrive; its tokens are returned and never used.
        self._borrower.send(self._holder, ReturnTokens(number, self._missing))
        self._close_request()
        self.request_next()

    def _close_request(self):
        self._timer.cancel()
        self._borrower.close_request(self._number)
        self._holder = None
        self._number = None

    def _is_late(self):
        elapsed = self._borrower.clock.monotonic() - self._started
        return elapsed > self._borrower.settings.grant_lifetime

    def _finish(self):
        self._result.callback(self._local.with_loans(self._wanted, tuple(self._loans)))

    def _refuse(self):
        # Without an answer or tokens of its own, this process can't determine whether
        # the team exceeds its limits.
        is_known = self._has_answer or self._local.amount > 0
        is_over = is_known and not self._is_late()
        self._local.with_loans(self._wanted, tuple(self._loans)).settle(0)
        cause = Cause.OVER_LIMIT if is_over else Cause.BUDGET_UNAVAILABLE
        self._result.errback(BudgetRefused(cause, self._compute_retry_delay()))

    def _compute_retry_delay(self):
        if self._rate <= 0:
            return None
        return max(_MIN_RETRY_DELAY, timedelta(seconds=self._missing / self._rate))


class Borrower:
    """Open loan requests of one process, and the holders that lacked tokens.

    Parameters
    ----------
    clock : Clock
        Monotonic time and timers.
    send : callable
        Called with a ProcessId and a message for it.
    settings : BudgetSettings
        Settings of the budgets.
    """

    def __init__(self, clock, send, settings):
        self.clock = clock
        self.send = send
        self.settings = settings
        self._open = {}
        self._last_number = 0
        self._empty_until = {}

    def open_request(self, collector):
        """Register a loan request of a collector and return its number."""
        self._last_number += 1
        self._open[self._last_number] = collector
        return self._last_number

    def close_request(self, number):
        """Remove a loan request, so that later answers to it are dropped."""
        del self._open[number]

    def handle_grant(self, holder, grant):
        """Pass an answer to the collector of its request; drop it if that is closed."""
        collector = self._open.get(grant.reservation)
        if collector is not None:
            collector.handle_grant(holder, grant)

    def mark_empty(self, holder, team, missing_after):
        """Record that a holder had too few tokens for a team.

        Parameters
        ----------
        holder : ProcessId
            The holder.
        team : str
            Name of the team.
        missing_after : timedelta
            Time until the holder expects to have enough, from its answer; limited to
            the setting ``empty_holder_backoff``.
        """
        backoff = min(missing_after, self.settings.empty_holder_backoff)
        self._empty_until[holder, team] = self.clock.monotonic() + backoff

    def is_empty(self, holder, team, now):
        """Return whether a holder is to be skipped for a team at a monotonic time."""
        until = self._empty_until.get((holder, team))
        return until is not None and now < until

    def remove_holder(self, holder):
        """Remove the entries of ``mark_empty`` for a holder."""
        for key in [key for key in self._empty_until if key[0] == holder]:
            del self._empty_until[key]
