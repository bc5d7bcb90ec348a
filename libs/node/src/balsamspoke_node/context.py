"""State shared by all exchanges of an entry process."""

import itertools
from datetime import timedelta

from balsamspoke_types.outcomes import Cause, Ran, Refusal

INTERNAL_ERROR_RETRY_AFTER = timedelta(seconds=1)
DEFAULT_WEIGHT = 1.0


class EntryContext:
    """Components and running exchanges that the exchanges of a process share.

    Parameters
    ----------
    process : ProcessId
        Id of the entry process, part of the request ids.
    clock : Clock
        Wall time and monotonic time.
    settings : EntrySettings
        Settings of the entry process.
    catalogue : CatalogueView
        Catalogue in force at this process.
    budgets : TeamBudgets
        Budgets to reserve tokens from.
    runner : AttemptRunner
        Runs requests on replicas.
    observer : Observer
        Receives the events of the ``events`` module.

    Attributes
    ----------
    exchanges : set of Exchange
        Exchanges that have not ended.
    on_idle : callable or None
        Called without arguments each time the last running exchange has ended.
    """

    def __init__(self, process, clock, settings, catalogue, budgets, runner, observer):
        self.process = process
        self.clock = clock
        self.settings = settings
        self.catalogue = catalogue
        self.budgets = budgets
        self.runner = runner
        self.observer = observer
        self.exchanges = set()
        self.on_idle = None
        self._request_numbers = itertools.count(1)

    def make_request_id(self):
        """Return a request id that is unique among all processes."""
        number = next(self._request_numbers)
        return f"{self.process.vm}-{self.process.boot:x}-{number}"

    def find_weight(self, team_name):
        """Return the weight of a team in the queues of replicas."""
        team = self.catalogue.team(team_name)
        return team.weight if team is not None else DEFAULT_WEIGHT

    def observe(self, event):
        """Pass an event to the observer."""
        self.observer.observe(event)

    def begin_exchange(self, exchange):
        """Add an exchange to the running ones and start it."""
        self.exchanges.add(exchange)
        exchange.start()

    def end_exchange(self, exchange, event):
        """Remove an exchange and report its RequestEnded event."""
        self.exchanges.discard(exchange)
        self.observe(event)
        if not self.exchanges and self.on_idle is not None:
            self.on_idle()

    @staticmethod
    def refuse_after_failure(failure, refuse):
        """Refuse a request after an unexpected exception; return the failure."""
        refuse(
            Refusal(
                Cause.INTERNAL,
                Ran.UNKNOWN,
                f"unexpected {failure.type.__name__}",
                INTERNAL_ERROR_RETRY_AFTER,
            )
        )
        return failure
