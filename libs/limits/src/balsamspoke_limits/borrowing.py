"""Collecting a reservation's tokens from several holders."""

from datetime import timedelta

from balsamspoke_types.messages import ReserveTokens, ReturnTokens
from balsamspoke_types.outcomes import Cause

from .exceptions import BudgetRefused
from .reservations import Loan

_LEAST_RETRY = timedelta(milliseconds=1)


class Collection:
    """Ask holders in turn until a reservation is whole.

    Parameters
    ----------
    reservation : Reservation
        What was taken here; its amount is what this process gave.
    wanted : int
        Tokens wanted in all.
    holders : list of ProcessId
        Whom to ask, in order.
    book : Borrower
        Sends, and finds this by the numbers of its asks.
    result : Deferred
        Given the Reservation, or BudgetRefused.
    rate : float
        Tokens a second of the team.
    """

    def __init__(self, reservation, wanted, holders, book, result, rate):
        self._team = reservation.team
        self._local = reservation
        self._wanted = wanted
        self._missing = wanted - reservation.amount
        self._holders = holders
        self._book = book
        self._result = result
        self._rate = rate
        self._loans = []
        self._has_answer = False
        self._started = book.clock.monotonic()
        self._holder = None
        self._number = None
        self._timer = None

    def ask_next(self):
        """Ask the next holder, or end."""
        if self._is_late():
            self._refuse()
        elif not self._missing:
            self._finish()
        elif not self._holders:
            self._refuse()
        else:
            self._ask(self._holders.pop(0))

    def take_grant(self, holder, grant):
        """Take an answer to the open ask; others are ignored."""
        if holder != self._holder or grant.reservation != self._number:
            return
        self._close_ask()
        self._has_answer = True
        amount = min(grant.amount, self._missing)
        if amount > 0:
            self._loans.append(Loan(holder, grant.reservation, amount))
            self._missing -= amount
        if self._missing:
            self._book.note_empty(holder, self._team, grant.missing_after)
        self.ask_next()

    def _ask(self, holder):
        self._holder = holder
        self._number = self._book.open(self)
        self._book.send(holder, ReserveTokens(self._number, self._team, self._missing))
        wait = self._book.settings.ask_timeout
        self._timer = self._book.clock.call_later(wait, self._give_up_ask, self._number)

    def _give_up_ask(self, number):
        if number != self._number:
            return
        # The grant may still come, and isn't used then.
        self._book.send(self._holder, ReturnTokens(number, self._missing))
        self._close_ask()
        self.ask_next()

    def _close_ask(self):
        self._timer.cancel()
        self._book.close(self._number)
        self._holder = None
        self._number = None

    def _is_late(self):
        elapsed = self._book.clock.monotonic() - self._started
        return elapsed > self._book.settings.grant_lifetime

    def _finish(self):
        self._result.callback(self._local.extend(self._wanted, tuple(self._loans)))

    def _refuse(self):
        is_known = self._has_answer or self._local.amount > 0
        is_over = is_known and not self._is_late()
        self._local.extend(self._wanted, tuple(self._loans)).settle(0)
        cause = Cause.OVER_LIMIT if is_over else Cause.BUDGET_UNAVAILABLE
        self._result.errback(BudgetRefused(cause, self._find_retry()))

    def _find_retry(self):
        if self._rate <= 0:
            return None
        return max(_LEAST_RETRY, timedelta(seconds=self._missing / self._rate))


class Borrower:
    """Open asks of one process, and what it knows of empty holders.

    Parameters
    ----------
    clock, send, settings
        As for TeamBudgets.
    """

    def __init__(self, clock, send, settings):
        self.clock = clock
        self.send = send
        self.settings = settings
        self._open = {}
        self._last = 0
        self._empty = {}

    def open(self, collection):
        """Return a new number for an ask."""
        self._last += 1
        self._open[self._last] = collection
        return self._last

    def close(self, number):
        """Forget an ask."""
        del self._open[number]

    def take_grant(self, holder, grant):
        """Hand an answer to who asked; drop it if nobody waits."""
        collection = self._open.get(grant.reservation)
        if collection is not None:
            collection.take_grant(holder, grant)

    def note_empty(self, holder, team, missing_after):
        """Note that a holder had too little for a team."""
        pause = min(missing_after, self.settings.refusal_memory)
        self._empty[holder, team] = self.clock.monotonic() + pause

    def is_empty(self, holder, team, now):
        """Return whether a holder need not be asked yet."""
        until = self._empty.get((holder, team))
        return until is not None and now < until

    def forget(self, holder):
        """Forget what is known of a holder."""
        for key in [key for key in self._empty if key[0] == holder]:
            del self._empty[key]
