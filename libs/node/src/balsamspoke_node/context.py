"""What all exchanges of an entry process share."""

import itertools
from datetime import timedelta

from balsamspoke_types.outcomes import Cause, Ran, Refusal

INTERNAL_RETRY = timedelta(seconds=1)
DEFAULT_WEIGHT = 1.0


class EntryContext:
    """What all exchanges of an entry process share.

    Parameters
    ----------
    process : ProcessId
        The entry process.
    clock : Clock
        Its clock.
    settings : EntrySettings
        Its settings.
    catalogue : CatalogueView
        What is in force.
    budgets : TeamBudgets
        Where tokens are reserved.
    runner : AttemptRunner
        What runs requests.
    observer : Observer
        Who is told.
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
        """Return an id that no other request of any process has."""
        number = next(self._request_numbers)
        return f"{self.process.vm}-{self.process.boot:x}-{number}"

    def find_weight(self, team_name):
        """Return a team's weight on busy replicas."""
        team = self.catalogue.team(team_name)
        return team.weight if team is not None else DEFAULT_WEIGHT

    def observe(self, event):
        """Tell the observer."""
        self.observer.observe(event)

    def begin_exchange(self, exchange):
        """Count an exchange as running and start it."""
        self.exchanges.add(exchange)
        exchange.start()

    def end_exchange(self, exchange, event):
        """Note the end of an exchange."""
        self.exchanges.discard(exchange)
        self.observe(event)
        if not self.exchanges and self.on_idle is not None:
            self.on_idle()

    @staticmethod
    def report_failure(failure, refuse):
        """Answer a request that a fault of ours broke."""
        refuse(
            Refusal(
                Cause.INTERNAL,
                Ran.UNKNOWN,
                f"unexpected {failure.type.__name__}",
                INTERNAL_RETRY,
            )
        )
        return failure
