"""Reports to the entry processes, within a budget of bytes."""

from datetime import timedelta

ACTIVE_TIME = timedelta(seconds=5)
ENVELOPE_BYTES = 12
NUMBERS_BYTES = 18
ADAPTER_BYTES = 8


def estimate_bytes(report):
    """Return about how many bytes a ReplicaReport takes on the wire."""
    names = sum(len(ref.adapter) + ADAPTER_BYTES for ref in report.adapters)
    return ENVELOPE_BYTES + NUMBERS_BYTES + len(report.service) + names


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
        self._peers = {}
        self._accepting = None
        self._sent_state = {}
        self._allowance = 0.0
        self._timer = None

    def start(self):
        """Begin to report."""
        self._timer = self._clock.call_later(self._settings.report_interval, self._tick)

    def stop(self):
        """End reporting."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def add_peer(self, peer):
        """Report to a peer, at once."""
        self._peers[peer] = self._clock.monotonic() - ACTIVE_TIME
        self._send_to(peer, self._build_report())

    def remove_peer(self, peer):
        """Report to a peer no more."""
        self._peers.pop(peer, None)
        self._sent_state.pop(peer, None)

    def note_request(self, peer):
        """Note that a peer sends requests here."""
        if peer in self._peers:
            self._peers[peer] = self._clock.monotonic()

    def note_accepting(self, accepting):
        """Report to every peer if ``accepting`` changed."""
        if accepting == self._accepting:
            return
        self._accepting = accepting
        report = self._build_report()
        for peer in self._peers:
            self._send_to(peer, report)

    def _tick(self):
        interval = self._settings.report_interval
        budget = self._settings.report_bytes * interval.total_seconds()
        self._allowance = min(self._allowance + budget, 2 * budget)
        report = self._build_report()
        size = estimate_bytes(report)
        for peer in self._list_due(report):
            if self._allowance < size:
                break
            self._allowance -= size
            self._send_to(peer, report)
        self.start()

    def _list_due(self, report):
        now = self._clock.monotonic()
        due = [peer for peer in self._peers if self._is_due(peer, report, now)]
        return sorted(
            due,
            key=lambda peer: (
                now - self._peers[peer] > ACTIVE_TIME,
                self._sent_state[peer][0],
            ),
        )

    def _is_due(self, peer, report, now):
        sent_at, state = self._sent_state[peer]
        if now - sent_at >= self._settings.report_interval_idle:
            return True
        changed = state != _get_state(report)
        return changed and now - sent_at >= self._settings.report_interval

    def _send_to(self, peer, report):
        self._sent_state[peer] = (self._clock.monotonic(), _get_state(report))
        self._send(peer, report)


def _get_state(report):
    return (
        report.running,
        report.queued,
        report.queued_tokens,
        report.batch_size,
        report.accepting,
        report.adapters,
    )
