"""Base class of the exchanges of generations and service calls."""

from abc import abstractmethod

from balsamspoke_limits import BudgetRefused
from balsamspoke_routing import AnswerSink
from balsamspoke_types.outcomes import Cause, Ran, Refusal

from .callers import Exchange


class BudgetedExchange(Exchange, AnswerSink):
    """An exchange that reserves tokens, runs, and settles the tokens used.

    It ends exactly once: by an answer, by a refusal or by the caller's disconnection.

    Parameters
    ----------
    context : EntryContext
        State shared by all exchanges of the entry process.
    request_id : str
        Id of the caller's request.
    principal : Principal
        Team and key of the request; empty without a key.
    """

    def __init__(self, context, request_id, principal):
        self._context = context
        self._request_id = request_id
        self._principal = principal
        self._arrived_at = context.clock.monotonic()
        self._reservation = None
        self._running_request = None
        self._is_ended = False

    def cancel(self):
        """End the exchange and cancel its run, as the caller has disconnected."""
        gone = Refusal(Cause.CANCELLED, Ran.UNKNOWN, "the caller went away")
        if self._end_once(gone) and self._running_request is not None:
            self._running_request.cancel()

    @abstractmethod
    def _start_run(self):
        """Start the request on the runner and return its RunningRequest."""

    @abstractmethod
    def _count_used_tokens(self):
        """Return the number of tokens used, for a request that may have run."""

    @abstractmethod
    def _describe_end(self, refusal):
        """Return the RequestEnded event; ``refusal`` is None for a complete answer."""

    def _reserve(self, team, amount):
        """Reserve tokens of a team's budget, then run the request."""
        reserved = self._context.budgets.reserve(team, amount)
        reserved.addCallbacks(self._run, self._refuse_without_budget)
        reserved.addErrback(self._context.refuse_after_failure, self.refuse)

    def _run(self, reservation):
        if self._is_ended:
            reservation.settle(0)
            return
        self._reservation = reservation
        self._running_request = self._start_run()

    def _refuse_without_budget(self, failure):
        failure.trap(BudgetRefused)
        error = failure.value
        self.refuse(Refusal(error.cause, Ran.NOT_RUN, str(error), error.retry_after))

    def _end_once(self, refusal):
        """Settle the reservation and report the end; return False if already ended."""
        if self._is_ended:
            return False
        self._is_ended = True
        if self._reservation is not None:
            not_run = refusal is not None and refusal.ran is Ran.NOT_RUN
            self._reservation.settle(0 if not_run else self._count_used_tokens())
        self._context.end_exchange(self, self._describe_end(refusal))
        return True
