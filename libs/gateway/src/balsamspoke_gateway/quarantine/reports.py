"""Reports of crashes to the peers, one for each crash."""

from datetime import timedelta

from .messages import CrashReport

# Time for which the requests of one crash are collected. Their connections break at the
# same moment.
COLLECTING_TIME = timedelta(milliseconds=5)
# Requests in one message, which bounds its size.
MAX_SUSPECTS = 100


class CrashReportBatch:
    """Collect the suspects of each crash, and send them in few messages.

    Parameters
    ----------
    clock : Clock
        Schedules the messages.
    send : callable
        Sends a CrashReport to all peers.
    """

    def __init__(self, clock, send):
        self._clock = clock
        self._send = send
        self._suspects = {}

    def add(self, report):
        """Add the suspects of a CrashReport."""
        crash = (report.replica, report.born)
        if crash not in self._suspects:
            self._suspects[crash] = []
            self._clock.call_later(COLLECTING_TIME, self._flush, crash)
        self._suspects[crash] += report.suspects

    def _flush(self, crash):
        suspects = self._suspects.pop(crash)
        for start in range(0, len(suspects), MAX_SUSPECTS):
            part = tuple(suspects[start : start + MAX_SUSPECTS])
            self._send(CrashReport(*crash, part))
