"""Reports to the entry processes, within a budget of bytes a second."""

from datetime import timedelta

RECENT_REQUEST_TIME = timedelta(seconds=5)
ENVELOPE_BYTES = 12
NUMERIC_FIELDS_BYTES = 18
ADAPTER_OVERHEAD_BYTES = 8


def estimate_report_bytes(report):
    """Estimate the size in bytes of an encoded ReplicaReport."""
    adapter_bytes = sum(
        len(ref.adapter) + ADAPTER_OVERHEAD_BYTES for ref in report.adapters
    )
    return ENVELOPE_BYTES + NUMERIC_FIELDS_BYTES + len(report.service) + adapter_bytes


class Reporter:
    """Send ReplicaReports to the connected peers.

    Parameters
    ----------
    clock : Clock
        Monotonic time and timers.
    settings : ReplicaSettings
        Intervals and byte budget.
    build_report : callable
        Called without arguments; returns a new ReplicaReport.
    send : callable
        Called with a ProcessId and the message to send to it.

    Notes
    -----
    A change of ``accepting`` is reported to every peer immediately. Of the periodic
    reports, those to peers with recent requests come first; among them, and among
    the others, the peer with the oldest last report does. If the budget doesn't
    cover all peers in an interval, each receives fewer reports.
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
        """Start the timer for the next periodic reports."""
        self._timer = self._clock.call_later(
            self._settings.report_interval, self._send_due_reports
        )

    def stop(self):
        """Stop the periodic reports."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def add_peer(self, peer):
        """Add a peer and send it a report immediately."""
        self._last_request_at[peer] = self._clock.monotonic() - RECENT_REQUEST_TIME
        self._send_to(peer, self._build_report())

    def remove_peer(self, peer):
        """Remove a peer; it receives no more reports."""
        self._last_request_at.pop(peer, None)
        self._last_sent.pop(peer, None)

    def record_request(self, peer):
        """Record that a peer sent a request now."""
        if peer in self._last_request_at:
            self._last_request_at[peer] = self._clock.monotonic()

    def update_accepting(self, accepting):
        """Send a report to every peer if ``accepting`` changed."""
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
