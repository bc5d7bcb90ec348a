"""Reports to the entry processes, within a budget of bytes."""

from datetime import timedelta

RECENT_REQUEST_TIME = timedelta(seconds=5)
ENVELOPE_BYTES = 12
NUMBERS_BYTES = 18
ADAPTER_BYTES = 8


def estimate_report_bytes(report):
    """Return about how many bytes a ReplicaReport takes on the wire."""
    adapter_bytes = sum(len(ref.adapter) + ADAPTER_BYTES for ref in report.adapters)
    return ENVELOPE_BYTES + NUMBERS_BYTES + len(report.service) + adapter_bytes


class Reporter:
    """Send ReplicaReports to the connected peers.

    Parameters
    ----------
    clock : Clock
        Time.
    settings : ReplicaSettings
        Intervals and budget.
    build_report : callable
        Returns a new ReplicaReport.
    send : callable
        Called with a ProcessId and a message.

    Notes
    -----
    A change of ``accepting`` goes to every peer at once. Otherwise the peers that
    sent requests lately come first, then those that heard nothing the longest.
    With more peers than the budget serves in an interval, each hears less often.
    """

    def __init__(self, clock, settings, build_report, send):
        self._clock = clock
        self._settings = settings
        self._build_report = build_report
        self._send = send
        self._last_request_at = {}
        self._accepting = None
        self._last_sent = {}
        self._available_bytes = 0.0
        self._timer = None

    def start(self):
        """Begin to report."""
        self._timer = self._clock.call_later(
            self._settings.report_interval, self._send_due_reports
        )

    def stop(self):
        """End reporting."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def add_peer(self, peer):
        """Report to a peer, at once."""
        self._last_request_at[peer] = self._clock.monotonic() - RECENT_REQUEST_TIME
        self._send_to(peer, self._build_report())

    def remove_peer(self, peer):
        """Report to a peer no more."""
        self._last_request_at.pop(peer, None)
        self._last_sent.pop(peer, None)

    def record_request(self, peer):
        """Note that a peer sends requests here."""
        if peer in self._last_request_at:
            self._last_request_at[peer] = self._clock.monotonic()

    def update_accepting(self, accepting):
        """Report to every peer if ``accepting`` changed."""
        if accepting == self._accepting:
            return
        self._accepting = accepting
        report = self._build_report()
        for peer in self._last_request_at:
            self._send_to(peer, report)

    def _send_due_reports(self):
        interval = self._settings.report_interval
        budget = self._settings.report_bytes * interval.total_seconds()
        self._available_bytes = min(self._available_bytes + budget, 2 * budget)
        report = self._build_report()
        size = estimate_report_bytes(report)
        for peer in self._list_due(report):
            if self._available_bytes < size:
                break
            self._available_bytes -= size
            self._send_to(peer, report)
        self.start()

    def _list_due(self, report):
        now = self._clock.monotonic()
        due = [
            peer for peer in self._last_request_at if self._is_due(peer, report, now)
        ]
        return sorted(
            due,
            key=lambda peer: (
                now - self._last_request_at[peer] > RECENT_REQUEST_TIME,
                self._last_sent[peer][0],
            ),
        )

    def _is_due(self, peer, report, now):
        sent_at, reported_state = self._last_sent[peer]
        if now - sent_at >= self._settings.report_interval_idle:
            return True
        has_changed = reported_state != _get_reported_state(report)
        return has_changed and now - sent_at >= self._settings.report_interval

    def _send_to(self, peer, report):
        self._last_sent[peer] = (self._clock.monotonic(), _get_reported_state(report))
        self._send(peer, report)


def _get_reported_state(report):
    return (
        report.running,
        report.queued,
        report.queued_tokens,
        report.batch_size,
        report.accepting,
        report.adapters,
    )
