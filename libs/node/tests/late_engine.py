"""An engine whose reports come late."""

from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta


@dataclass
class DelayedReports:
    """Reports of an engine that tell of an earlier moment.

    Attributes
    ----------
    lag : timedelta
        Age of what a report tells.
    """

    engine: object
    lag: timedelta
    _kept: deque = field(default_factory=deque)

    def install(self):
        """Put the late reports in place of the engine's own."""
        make_report = self.engine._report
        self.engine._report = lambda _: self._choose(make_report(None))

    def _choose(self, report):
        now = self.engine.clock.time.elapsed
        self._kept.append((now, report))
        while len(self._kept) > 1 and self._kept[1][0] <= now - self.lag:
            self._kept.popleft()
        return self._kept[0][1]


def delay_reports(fleet, seconds):
    """Let all engines of a Fleet report late."""
    for engine in fleet.engines:
        DelayedReports(engine, timedelta(seconds=seconds)).install()
