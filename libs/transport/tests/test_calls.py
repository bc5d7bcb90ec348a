import unittest
from datetime import timedelta
from unittest import mock

from balsamspoke_fakes import VirtualClock, VirtualTime
from balsamspoke_transport import connections
from balsamspoke_transport.calls import (
    MAX_RESPONSE_BYTES,
    MAX_RESPONSE_TIME,
    BufferedHttpClient,
)
from balsamspoke_transport.exceptions import ReplyBroken, ReplyOverdue
from balsamspoke_transport.http_requests import Endpoint, HttpHead
from balsamspoke_transport.pool import ConnectionPool
from twisted.internet.defer import Deferred, succeed
from twisted.internet.testing import MemoryReactor, StringTransport

SECOND = timedelta(seconds=1)


class SlowExchange:
    """An exchange whose body comes in pieces, at an interval, without an end."""

    def __init__(self, clock, piece, interval):
        self._clock = clock
        self._piece = piece
        self._interval = interval
        self.is_aborted = False

    def read_head(self):
        return succeed(HttpHead(200, ()))

    def read_piece(self):
        reading = Deferred()
        self._clock.call_later(self._interval, reading.callback, self._piece)
        return reading

    def abort(self):
        self.is_aborted = True


class SlowPool:
    def __init__(self, exchange):
        self._exchange = exchange

    def send(self, endpoint, request):
        return self._exchange


class BusyClock(VirtualClock):
    """A clock whose timers run after the sockets of the turn in which they are due."""

    def call_later(self, delay, function, *arguments):
        late = delay + timedelta(milliseconds=10)
        return super().call_later(late, function, *arguments)


class SilentConnectionTests(unittest.TestCase):
    HEAD = b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=60\r\nContent-Length: 2\r\n\r\n"

    def setUp(self):
        patch = mock.patch.object(connections, "enable_keepalive")
        patch.start()
        self.addCleanup(patch.stop)
        self.time = VirtualTime()
        clock = VirtualClock(self.time)
        self.reactor = MemoryReactor()
        pool = ConnectionPool(self.reactor, clock, b"request-id")
        self.client = BufferedHttpClient(pool, Endpoint("10.0.0.1", 80), clock)
        self.transports = []
        self.errors = []

    def call(self):
        """Begin a call, and establish the connection that it opens, if it does."""
        calling = self.client.call(b"GET", b"/", b"", SECOND, SECOND)
        Deferred.fromCoroutine(calling).addErrback(self.errors.append)
        for _, _, factory, *_ in self.reactor.tcpClients[len(self.transports) :]:
            protocol = factory.buildProtocol(None)
            transport = StringTransport()
            self.transports.append(transport)
            protocol.makeConnection(transport)
            transport.protocol = protocol

    # Each call after a silence took another connection that had gone silent with it.
    def test_a_call_after_a_silent_one_uses_a_new_connection(self):
        for _ in range(3):
            self.call()
        for transport in self.transports:
            transport.protocol.dataReceived(self.HEAD + b"{}")
        self.call()
        self.assertEqual(len(self.transports), 3)
        self.time.advance(SECOND)
        self.assertIsNotNone(self.errors[0].check(ReplyOverdue))
        self.assertTrue(all(each.disconnected for each in self.transports))
        self.call()
        self.assertEqual(len(self.transports), 4)


class EndlessResponseTests(unittest.TestCase):
    def call(self, piece, interval, clock_type=VirtualClock):
        """Read an endless response for a while; return its exchange and the errors."""
        time = VirtualTime()
        clock = VirtualClock(time)
        exchange = SlowExchange(clock, piece, interval)
        client = BufferedHttpClient(
            SlowPool(exchange), Endpoint("10.0.0.1", 80, ""), clock_type(time)
        )
        calling = Deferred.fromCoroutine(client.call(b"GET", b"/", b"", SECOND, SECOND))
        errors = []
        calling.addErrback(lambda failure: errors.append(failure.value))
        time.advance(2 * MAX_RESPONSE_TIME)
        return exchange, errors

    def test_a_response_that_sends_a_byte_now_and_then_ends(self):
        exchange, errors = self.call(b"x", timedelta(milliseconds=500))
        self.assertIsInstance(errors[0], ReplyBroken)
        self.assertTrue(exchange.is_aborted)

    # Each piece cancelled the timer of its time limit before it ran.
    def test_a_response_that_never_pauses_ends(self):
        interval = timedelta(milliseconds=5)
        exchange, errors = self.call(b"x", interval, BusyClock)
        self.assertIsInstance(errors[0], ReplyBroken)
        self.assertTrue(exchange.is_aborted)

    def test_a_response_without_an_end_is_not_kept(self):
        piece = bytes(MAX_RESPONSE_BYTES // 4)
        exchange, errors = self.call(piece, timedelta(milliseconds=1))
        self.assertIsInstance(errors[0], ReplyBroken)
        self.assertTrue(exchange.is_aborted)


if __name__ == "__main__":
    unittest.main()
