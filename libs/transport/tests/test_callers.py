import unittest
from datetime import timedelta
from unittest import mock

from balsamspoke_gateway.configuration import CallerLimits
from balsamspoke_transport import callers
from balsamspoke_transport.callers import CallerFactory
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

LIMITS = CallerLimits(
    header_bytes=400,
    body_bytes=10,
    header_timeout=timedelta(seconds=2),
    idle_timeout=timedelta(seconds=6),
)
HEAD = b"POST /a HTTP/1.1\r\nHost: x\r\n"


class CallerLimitTests(unittest.TestCase):
    def setUp(self):
        patch = mock.patch.object(callers, "set_probes")
        patch.start()
        self.addCleanup(patch.stop)
        self.clock = Clock()
        self.limits = LIMITS
        self.taken = []
        factory = CallerFactory(
            self.clock, lambda: self.limits, self.take, None, None, lambda: False
        )
        self.channel = factory.buildProtocol(None)
        self.transport = StringTransport()
        self.channel.makeConnection(self.transport)

    def take(self, exchange):
        self.taken.append(exchange.content.read())
        exchange.start(200, (), 2)
        exchange.write(b"ok")
        exchange.finish()

    def send(self, data):
        self.channel.dataReceived(data)

    def pass_time(self, seconds):
        for _ in range(round(seconds * 10)):
            self.clock.advance(0.1)

    def test_keeps_no_more_of_a_body_than_shows_that_it_is_too_long(self):
        self.send(HEAD + b"Content-Length: 30\r\n\r\n" + b"a" * 30)
        chunks = b"8\r\naaaaaaaa\r\n" * 4 + b"0\r\n\r\n"
        self.send(HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunks)
        self.assertEqual([len(each) for each in self.taken], [11, 11])

    def test_takes_a_body_of_the_longest_length(self):
        self.send(HEAD + b"Content-Length: 10\r\n\r\n" + b"a" * 10)
        self.assertEqual(self.taken, [b"a" * 10])

    def test_refuses_a_head_beyond_the_limit(self):
        self.send(HEAD + b"Long: " + b"a" * 500 + b"\r\n\r\n")
        self.assertEqual(self.taken, [])
        self.assertTrue(self.transport.disconnecting)

    def test_takes_one_long_line_of_a_head_within_the_limit(self):
        self.limits = CallerLimits(header_bytes=40_000)
        self.send(HEAD + b"Long: " + b"a" * 30_000 + b"\r\nContent-Length: 0\r\n\r\n")
        self.assertEqual(self.taken, [b""])

    def test_closes_on_a_head_that_comes_byte_by_byte(self):
        for byte in HEAD[:21]:
            self.send(bytes([byte]))
            self.pass_time(0.1)
        self.assertTrue(self.transport.value().startswith(b"HTTP/1.1 408 "))
        self.assertTrue(self.transport.disconnecting)

    def test_waits_longer_for_a_body_and_between_requests(self):
        self.send(HEAD + b"Content-Length: 2\r\n\r\n")
        self.pass_time(5)
        self.send(b"a")
        self.pass_time(5)
        self.send(b"a")
        self.pass_time(5)
        self.assertFalse(self.transport.disconnecting)
        self.pass_time(1.5)
        self.assertTrue(self.transport.disconnecting)
        self.assertNotIn(b" 408 ", self.transport.value())

    def test_ends_a_body_that_stops(self):
        self.send(HEAD + b"Content-Length: 2\r\n\r\na")
        self.pass_time(6.5)
        self.assertTrue(self.transport.value().startswith(b"HTTP/1.1 408 "))
        self.assertEqual(self.taken, [])

    def test_follows_a_new_configuration(self):
        self.limits = CallerLimits(body_bytes=20)
        self.send(HEAD + b"Content-Length: 15\r\n\r\n" + b"a" * 15)
        self.assertEqual(self.taken, [b"a" * 15])
