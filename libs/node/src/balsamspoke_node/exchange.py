"""What the exchanges of generations and of calls have in common."""

from abc import abstractmethod

from balsamspoke_limits import BudgetRefused
from balsamspoke_routing import AnswerSink
from balsamspoke_types.outcomes import Cause, Ran, Refusal

from .callers import Exchange


class BudgetedExchange(Exchange, AnswerSink):
    """A request that reserves tokens, runs, and settles what it used, once.

    Parameters
    ----------
    context : EntryContext
        What all exchanges of an entry process share.
    request_id : str
        Id of the caller's request.
    principal : Principal
        Whose request it is.
    """

    def __init__(self, context, request_id, principal):
        self._context = context
        self._request_id = request_id
        self._principal = principal
        self._arrived = context.clock.monotonic()
        self._reservation = None
        self._running = None
        self._ended = False

    def cancel(self):
        """Give the answer up for a caller that is gone."""
        gone = Refusal(Cause.CANCELLED, Ran.UNKNOWN, "the caller went away")
        if self._end(gone) and self._running is not None:
            self._running.cancel()

    @abstractmethod
    def _begin_run(self):
        """Hand the request to the runner; return its RunningRequest."""

    @abstractmethod
    def _count_used(self):
        """Return the tokens used by a request that may have run."""

    @abstractmethod
    def _describe_end(self, refusal):
        """Return the RequestEnded."""

    def _reserve(self, team, amount):
        """Reserve tokens and go on from there."""
        reserved = self._context.budgets.reserve(team, amount)
        reserved.addCallbacks(self._run, self._refuse_for_budget)
        reserved.addErrback(self._context.report_failure, self.refuse)

    def _run(self, reservation):
        if self._ended:
            reservation.settle(0)
            return
        self._reservation = reservation
        self._running = self._begin_run()

    def _refuse_for_budget(self, failure):
        failure.trap(BudgetRefused)
        error = failure.value
        self.refuse(Refusal(error.cause, Ran.NOT_RUN, str(error), error.retry_after))

    def _end(self, refusal):
        """Settle and report once; return whether this was the first end."""
        if self._ended:
            return False
        self._ended = True
        if self._reservation is not None:
            not_run = refusal is not None and refusal.ran is Ran.NOT_RUN
            self._reservation.settle(0 if not_run else self._count_used())
        self._context.end_exchange(self, self._describe_end(refusal))
        return True
