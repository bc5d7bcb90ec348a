"""Engines whose reports are outdated."""

from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta


@dataclass
class DelayedReports:
    """Replacement of an engine's reports by earlier ones.

    Attributes
    ----------
    engine : FakeEngine
        Engine whose reports are delayed.
    lag : timedelta
        Age of the state in a report.
    """

    engine: object
    lag: timedelta
    _history: deque = field(default_factory=deque)

    def install(self):
        """Replace the report function of the engine."""
        make_report = self.engine._report
        self.engine._report = lambda _: self._choose(make_report(None))

    def _choose(self, report):
        now = self.engine.clock.time.elapsed
        self._history.append((now, report))
        while len(self._history) > 1 and self._history[1][0] <= now - self.lag:
            self._history.popleft()
        return self._history[0][1]


def delay_reports(fleet, seconds):
    """Delay the reports of all engines of a Fleet."""
    for engine in fleet.engines:
        DelayedReports(engine, timedelta(seconds=seconds)).install()
