import unittest
from datetime import timedelta
from unittest import mock

from balsamspoke_gateway.buffering import BufferBudget
from balsamspoke_gateway.configuration import CallerLimits
from balsamspoke_transport import callers, send_monitor
from balsamspoke_transport.callers import MAX_UNSENT_BYTES, CallerFactory
from balsamspoke_transport.send_monitor import SendState
from twisted.internet.abstract import FileDescriptor
from twisted.internet.task import Clock

ANSWER_BYTES = 100_000
SECOND = timedelta(seconds=1)
UNSENT = SendState(0, 5000, 0, 0, SECOND, SECOND)
SENT = SendState(0, 0, 0, 0, SECOND, SECOND)
LIMIT_BYTES = 1_000_000
REQUEST = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
UPLOAD_HEAD = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2000\r\n\r\n"


class SlowTransport(FileDescriptor):
    """Transport of a caller that reads only what a test tells it to.

    Attributes
    ----------
    read_bytes : int
        Bytes that the caller has read.
    was_aborted : bool
        Whether the connection was dropped.
    is_reading : bool
        Whether what the caller sends is read.
    """

    def __init__(self, clock):
        super().__init__(reactor=clock)
        self.connected = 1
        self.read_bytes = 0
        self.was_aborted = False
        self.is_reading = True

    def getPeer(self):
        return None

    def getHost(self):
        return None

    def getHandle(self):
        return mock.Mock(spec=["setsockopt"])

    def startWriting(self):
        """Send nothing of its own accord."""

    def stopWriting(self):
        """Do nothing: nothing is sent of its own accord."""

    def startReading(self):
        self.is_reading = True

    def stopReading(self):
        self.is_reading = False

    def writeSomeData(self, data):
        count = min(len(data), self._wanted)
        self._wanted -= count
        self.read_bytes += count
        return count

    def read(self, count):
        """Let the caller read a number of bytes."""
        self._wanted = count
        while self._wanted and (self.dataBuffer or self._tempDataBuffer):
            self.doWrite()

    def abortConnection(self):
        self.was_aborted = True


class SlowCallerTests(unittest.TestCase):
    def setUp(self):
        patch = mock.patch.object(callers, "enable_keepalive")
        patch.start()
        self.addCleanup(patch.stop)
        self.clock = Clock()
        self.is_closing = False
        self.budget = BufferBudget(LIMIT_BYTES)
        self.dropped = []
        self.exchanges = []
        self.refusals = []
        self.factory = CallerFactory(
            self.clock,
            CallerLimits,
            self.exchanges.append,
            self.build_refusal,
            None,
            lambda: self.is_closing,
            self.budget,
            self.dropped.append,
        )

    def build_refusal(self, error):
        self.refusals.append(error)
        return mock.Mock(status=503, headers=(), body=b"full")

    def connect(self, data):
        """Return the transport and the channel of a new connection that sent bytes."""
        transport = SlowTransport(self.clock)
        channel = self.factory.buildProtocol(None)
        channel.makeConnection(transport)
        channel.dataReceived(data)
        return transport, channel

    def test_the_answers_of_a_thousand_callers_that_read_a_byte_stay_bounded(self):
        transports = []
        for _ in range(1000):
            transport, _ = self.connect(REQUEST)
            exchange = self.exchanges.pop()
            exchange.start(200, (), ANSWER_BYTES)
            exchange.write(b"a" * ANSWER_BYTES)
            exchange.finish()
            transport.read(1)
            transports.append(transport)
            # Those of the last second are kept, whatever they hold.
            self.assertLessEqual(self.budget.held_bytes, LIMIT_BYTES)
            self.clock.advance(0.25)
        dropped = [each.was_aborted for each in transports]
        kept = LIMIT_BYTES // 2 // ANSWER_BYTES
        self.assertEqual(dropped, [True] * (1000 - kept) + [False] * kept)
        self.assertEqual(self.dropped, [ANSWER_BYTES] * (1000 - kept))

    # A request that was read while the connection waited to close got no answer.
    def test_a_request_is_not_read_while_the_last_answer_is_taken(self):
        self.is_closing = True
        with mock.patch.object(send_monitor, "read_send_state", lambda _: UNSENT):
            transport, channel = self.connect(REQUEST)
            exchange = self.exchanges.pop()
            exchange.start(200, (), ANSWER_BYTES)
            exchange.write(b"a" * ANSWER_BYTES)
            exchange.finish()
            self.clock.advance(1)
            self.assertFalse(transport.is_reading)
            transport.read(ANSWER_BYTES * 2)
            self.assertFalse(transport.is_reading)
            channel.dataReceived(REQUEST)
            self.assertEqual(self.exchanges, [])
            self.assertFalse(transport.disconnecting)
        with mock.patch.object(send_monitor, "read_send_state", lambda _: SENT):
            self.clock.pump([0.5] * 4)
            self.assertTrue(transport.disconnecting)

    def test_a_quick_caller_gets_a_long_answer_while_memory_is_short(self):
        for _ in range(20):
            self.connect(REQUEST)
            slow = self.exchanges.pop()
            slow.start(200, (), ANSWER_BYTES)
            slow.write(b"a" * ANSWER_BYTES)
        self.clock.advance(2)
        reader, _ = self.connect(UPLOAD_HEAD + b"a" * 2000)
        exchange = self.exchanges.pop()
        exchange.start(200, (), LIMIT_BYTES)
        exchange.write(b"a" * LIMIT_BYTES)
        exchange.finish()
        reader.read(2 * LIMIT_BYTES)
        self.assertFalse(reader.was_aborted)
        self.assertGreater(reader.read_bytes, LIMIT_BYTES)

    def test_a_caller_that_reads_is_not_held_up_by_those_that_do_not(self):
        reader, _ = self.connect(REQUEST)
        exchange = self.exchanges.pop()
        exchange.start(200, (), ANSWER_BYTES)
        for _ in range(10):
            exchange.write(b"a" * (ANSWER_BYTES // 10))
            reader.read(ANSWER_BYTES)
            self.assertFalse(exchange.is_full)
            self.connect(REQUEST)
            other = self.exchanges.pop()
            other.start(200, (), LIMIT_BYTES)
            other.write(b"a" * LIMIT_BYTES)
        exchange.finish()
        reader.read(ANSWER_BYTES)
        self.assertFalse(reader.was_aborted)
        self.assertGreater(reader.read_bytes, ANSWER_BYTES)

    def test_a_stream_goes_on_once_its_caller_has_read_it(self):
        transport, _ = self.connect(REQUEST)
        exchange = self.exchanges.pop()
        exchange.start(200, ())
        exchange.write(b"a" * 2 * MAX_UNSENT_BYTES)
        self.assertTrue(exchange.is_full)
        resumed = []
        exchange.wait_for_room().addCallback(resumed.append)
        transport.read(MAX_UNSENT_BYTES)
        self.assertEqual(resumed, [])
        transport.read(2 * MAX_UNSENT_BYTES)
        self.assertEqual(resumed, [None])
        self.assertFalse(exchange.is_full)
        self.assertEqual(self.budget.held_bytes, 0)

    def test_bodies_sent_a_byte_now_and_then_are_refused_beyond_the_bound(self):
        channels = [self.connect(UPLOAD_HEAD + b"a" * 1999)[1] for _ in range(600)]
        self.assertLessEqual(self.budget.held_bytes, LIMIT_BYTES)
        for channel in channels:
            channel.dataReceived(b"a")
        self.assertEqual(len(self.exchanges) + len(self.refusals), 600)
        self.assertEqual(len(self.exchanges), LIMIT_BYTES // 2 // 2000)
        self.assertTrue(all(each.retry_after for each in self.refusals))

    def test_memory_is_free_again_after_the_request_or_the_connection(self):
        for _ in range(3):
            self.connect(UPLOAD_HEAD + b"a" * 2000)
            self.assertEqual(self.budget.held_bytes, 2000)
            exchange = self.exchanges.pop()
            exchange.start(200, (), 2)
            exchange.write(b"ok")
            exchange.finish()
            self.assertEqual(self.budget.held_bytes, 0)
        _, channel = self.connect(UPLOAD_HEAD + b"a" * 1000)
        channel.connectionLost(mock.Mock())
        self.assertEqual(self.budget.held_bytes, 0)
