"""Reports of crashes, to the peers and of them."""

from dataclasses import dataclass
from datetime import timedelta

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from ..exceptions import NO_DELAY
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


@dataclass(frozen=True, slots=True)
class _Received:
    report: CrashReport
    is_own: bool
    judged: Deferred


class ReceivedReports:
    """Reports that come in one turn of the event loop, to be judged together.

    This handles crashes under load: each request that ran at the replica reports the
    same crash, and a comparison of all suspects for each of them would stop the
    process.

    Parameters
    ----------
    clock : Clock
        Schedules the judgement in the next turn.
    judge : callable
        Called with a list of CrashReports and whether one of them is this process's.
    report_bug : callable
        Called with the Failure of an unexpected error.
    """

    def __init__(self, clock, judge, report_bug):
        self._clock = clock
        self._judge = judge
        self._report_bug = report_bug
        self._received = []

    def add(self, report, is_own):
        """Add a CrashReport; return a Deferred that fires once it is judged."""
        if not self._received:
            self._clock.call_later(NO_DELAY, self._judge_all)
        received = _Received(report, is_own, Deferred())
        self._received.append(received)
        return received.judged

    def _judge_all(self):
        received, self._received = self._received, []
        reports = [each.report for each in received]
        try:
            self._judge(reports, any(each.is_own for each in received))
        except Exception:
            # The requests that wait must not wait for ever.
            self._report_bug(Failure())
        for each in received:
            if not each.judged.called:
                each.judged.callback(None)
