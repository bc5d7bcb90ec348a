"""Measurement of how late the timers of a process run."""

from datetime import timedelta

from balsamspoke_gateway.observing import TimersLate

PROBE_INTERVAL = timedelta(milliseconds=250)
# Timers that run later than this are logged. Half a second is what callers may wait
# beyond a timeout, of which this leaves most to the request's own way.
LATENESS_BOUND = timedelta(milliseconds=100)
# Least time between two log lines; the later one has the longest lateness since.
REPORT_INTERVAL = timedelta(seconds=10)


class TimerProbe:
    """Set a timer again and again, and measure how late it runs.

    Parameters
    ----------
    clock : Clock
        Runs the timers.
    record : callable
        Called with each lateness (timedelta).
    observer : Observer
        Receives TimersLate, at most once in ``REPORT_INTERVAL``.
    """

    def __init__(self, clock, record, observer):
        self._clock = clock
        self._record = record
        self._observer = observer
        self._due_at = None
        self._reported_at = None
        self._longest = timedelta(0)

    def start(self):
        """Start to measure; the process does so until its end."""
        self._due_at = self._clock.monotonic() + PROBE_INTERVAL
        self._clock.call_later(PROBE_INTERVAL, self._measure)

    def _measure(self):
        now = self._clock.monotonic()
        lateness = max(timedelta(0), now - self._due_at)
        self._record(lateness)
        self._longest = max(self._longest, lateness)
        if self._longest > LATENESS_BOUND and self._may_report(now):
            self._observer.observe(TimersLate(self._longest))
            self._reported_at = now
            self._longest = timedelta(0)
        self.start()

    def _may_report(self, now):
        return self._reported_at is None or now - self._reported_at >= REPORT_INTERVAL
