import itertools
import socket
import unittest
from datetime import timedelta
from unittest import mock

from balsamspoke_fakes import VirtualClock, VirtualTime
from balsamspoke_transport import send_monitor
from balsamspoke_transport.keepalive import UNACKNOWLEDGED_TIMEOUT
from balsamspoke_transport.send_monitor import (
    CHECK_INTERVAL,
    FLUSH_TIME,
    SendMonitor,
    SendState,
    read_send_state,
)

MILLISECOND = timedelta(milliseconds=1)
SECOND = timedelta(seconds=1)
STRICT_MS = int(UNACKNOWLEDGED_TIMEOUT / MILLISECOND)
EMPTY = SendState(0, 0, 0, 0, SECOND, SECOND)
CLOSED_WINDOW = SendState(0, 5000, 0, 0, 3 * SECOND, 2 * SECOND)
UNANSWERED_PROBES = SendState(0, 5000, 0, 3, 9 * SECOND, 3 * SECOND)
# The kernel takes a window that shrinks for a loss, which the peer acknowledges.
ANSWERED_LOSS = SendState(2, 5000, 3, 0, SECOND, SECOND)
UNANSWERED_LOSS = SendState(2, 0, 3, 0, SECOND, 2 * SECOND)
# Segments leave each ten milliseconds, and are acknowledged 50 ms later.
STEADY_STREAM = SendState(5, 0, 0, 0, 2 * MILLISECOND, 6 * MILLISECOND)


class FakeTransport:
    """Transport whose kernel's state a test sets."""

    def __init__(self):
        self.state = EMPTY
        self.timeout_ms = STRICT_MS
        self.is_aborted = False

    def getHandle(self):
        return self

    def getPeer(self):
        return mock.Mock(host="10.0.0.1", port=80)

    def setsockopt(self, level, option, value):
        if option == socket.TCP_USER_TIMEOUT:
            self.timeout_ms = value

    def abortConnection(self):
        self.is_aborted = True


class SendMonitorTests(unittest.TestCase):
    def setUp(self):
        patch = mock.patch.object(
            send_monitor, "read_send_state", lambda transport: transport.state
        )
        patch.start()
        self.addCleanup(patch.stop)
        self.time = VirtualTime()
        self.monitor = SendMonitor(VirtualClock(self.time))
        self.transport = FakeTransport()
        self.connection = mock.Mock(transport=self.transport)
        self.monitor.add(self.connection)

    def check(self, state, duration):
        """Let the kernel be in a state for a timedelta."""
        self.transport.state = state
        self.time.advance(duration)

    def test_a_peer_that_reads_slowly_is_waited_for_without_a_limit(self):
        for state in (CLOSED_WINDOW, ANSWERED_LOSS):
            self.check(state, 60 * SECOND)
            self.assertEqual(self.transport.timeout_ms, 0)
            self.assertFalse(self.transport.is_aborted)

    def test_the_limit_is_lifted_before_it_is_over(self):
        self.check(CLOSED_WINDOW, UNACKNOWLEDGED_TIMEOUT / 2)
        self.assertEqual(self.transport.timeout_ms, 0)

    def test_the_limit_holds_again_once_all_is_acknowledged(self):
        self.check(CLOSED_WINDOW, SECOND)
        self.check(EMPTY, SECOND)
        self.assertEqual(self.transport.timeout_ms, STRICT_MS)
        self.assertEqual(len(self.monitor), 0)

    def test_a_peer_that_is_gone_is_noticed_while_data_is_unsent(self):
        for state in (UNANSWERED_PROBES, UNANSWERED_LOSS):
            self.setUp()
            self.check(CLOSED_WINDOW, 10 * SECOND)
            self.check(state, UNACKNOWLEDGED_TIMEOUT + 2 * CHECK_INTERVAL)
            self.assertTrue(self.transport.is_aborted)

    def test_one_unanswered_probe_is_no_sign(self):
        one_probe = SendState(0, 5000, 0, 1, 9 * SECOND, 3 * SECOND)
        self.check(one_probe, 20 * SECOND)
        self.assertFalse(self.transport.is_aborted)

    def test_a_steady_stream_over_a_long_way_is_no_silence(self):
        self.check(STEADY_STREAM, 20 * SECOND)
        self.assertFalse(self.transport.is_aborted)
        self.assertEqual(self.transport.timeout_ms, STRICT_MS)

    def test_a_request_after_a_long_pause_is_no_silence(self):
        just_sent = SendState(1, 0, 0, 0, MILLISECOND, 20 * SECOND)
        self.check(just_sent, CHECK_INTERVAL)
        self.check(EMPTY, SECOND)
        self.assertFalse(self.transport.is_aborted)

    def test_a_connection_closes_once_the_rest_was_read(self):
        ends = []
        self.transport.state = CLOSED_WINDOW
        self.monitor.call_when_sent(self.connection, lambda: ends.append(True))
        self.time.advance(10 * SECOND)
        self.assertEqual(ends, [])
        self.check(EMPTY, SECOND)
        self.assertEqual(ends, [True])

    def test_a_connection_without_a_rest_closes_at_once(self):
        ends = []
        self.monitor.call_when_sent(self.connection, lambda: ends.append(True))
        self.time.advance(FLUSH_TIME)
        self.assertEqual(ends, [True])


class SendStateTests(unittest.TestCase):
    def test_reads_of_the_kernel_that_a_peer_has_closed_its_window(self):
        with socket.socket() as listener, socket.socket() as peer:
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
            peer.connect(listener.getsockname())
            handle, _ = listener.accept()
            with handle:
                handle.setblocking(False)
                transport = mock.Mock(getHandle=lambda: handle)
                self.assertTrue(read_send_state(transport).is_empty)
                sent = handle.send(b"x" * 100_000)
                states = (read_send_state(transport) for _ in itertools.count())
                closed = next(each for each in states if each.is_window_closed)
                self.assertLess(closed.unsent, sent)
                self.assertGreater(closed.unsent, 0)
                self.assertTrue(closed.is_answered)

    def test_a_closed_connection_has_no_state(self):
        self.assertIsNone(read_send_state(mock.Mock(spec=[])))


if __name__ == "__main__":
    unittest.main()
