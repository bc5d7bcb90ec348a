import itertools
import unittest
from datetime import timedelta

from balsamspoke_fakes import VirtualClock, VirtualTime
from balsamspoke_fakes.properties import examples
from balsamspoke_transport.connections import HttpConnection, HttpExchange
from balsamspoke_transport.exceptions import ReplyBroken
from balsamspoke_transport.http_requests import HttpRequest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

HOST = ((b"Host", b"replica"),)


class QuietHandle:
    def setsockopt(self, *_):
        pass


class Wire(StringTransport):
    is_aborted = False

    def setTcpNoDelay(self, _):
        pass

    def setTcpKeepAlive(self, _):
        pass

    def getHandle(self):
        return QuietHandle()

    def abortConnection(self):
        self.is_aborted = True


def answer(request_id, body=b"whole", extra=b""):
    head = b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n%s\r\n"
    return head % (request_id, len(body), extra) + body


class ConnectionTests(unittest.TestCase):
    def setUp(self):
        self.time = VirtualTime()
        self.free = []
        self.connection = HttpConnection(
            VirtualClock(self.time), self.free.append, lambda _: None
        )
        self.wire = Wire()
        self.connection.makeConnection(self.wire)

    def begin(self, request_id=b"r1", body=b"", is_idempotent=True):
        request = HttpRequest(b"POST", b"/x", HOST, body, request_id, is_idempotent)
        exchange = HttpExchange(request, b"request-id")
        self.connection.begin(exchange)
        return exchange

    def read_all(self, exchange):
        """Return the status, what was read, and how it ended."""
        pieces = []
        while True:
            reading = exchange.read_piece()
            results = []
            reading.addBoth(results.append)
            if not results:
                return b"".join(pieces), "waiting"
            if isinstance(results[0], Failure):
                results[0].trap(ReplyBroken)
                return b"".join(pieces), "broken"
            if not results[0]:
                return b"".join(pieces), "whole"
            pieces.append(results[0])

    def take_head(self, exchange):
        heads = []
        exchange.read_head().addBoth(heads.append)
        return heads[0] if heads else None

    def test_sends_the_request_with_its_length(self):
        self.begin(body=b"abc")
        sent = self.wire.value()
        self.assertTrue(sent.startswith(b"POST /x HTTP/1.1\r\n"))
        self.assertIn(b"Content-Length: 3\r\n", sent)
        self.assertTrue(sent.endswith(b"\r\n\r\nabc"))

    def test_reads_a_whole_answer_and_is_free_again(self):
        exchange = self.begin()
        self.connection.dataReceived(answer(b"r1"))
        self.assertEqual(self.take_head(exchange).status, 200)
        self.assertEqual(self.read_all(exchange), (b"whole", "whole"))
        self.assertEqual(self.free, [self.connection])

    @examples(100)
    @given(st.lists(st.integers(0, 120), max_size=8))
    def test_any_cuts_of_the_bytes_make_the_same_answer(self, cuts):
        self.setUp()
        exchange = self.begin()
        data = answer(b"r1")
        places = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
        for begin, end in itertools.pairwise(places):
            if end > begin:
                self.connection.dataReceived(data[begin:end])
        self.assertEqual(self.take_head(exchange).status, 200)
        self.assertEqual(self.read_all(exchange), (b"whole", "whole"))

    def test_skips_an_answer_to_an_earlier_request(self):
        exchange = self.begin(b"r2")
        self.connection.dataReceived(answer(b"r1", b"stale") + answer(b"r2", b"own"))
        self.assertEqual(self.take_head(exchange).find(b"request-id"), b"r2")
        self.assertEqual(self.read_all(exchange), (b"own", "whole"))

    def test_does_not_keep_a_connection_with_bytes_after_the_answer(self):
        exchange = self.begin()
        self.connection.dataReceived(answer(b"r1") + b"HTTP/1.1 200 OK\r\n")
        self.assertEqual(self.read_all(exchange), (b"whole", "whole"))
        self.assertEqual(self.free, [])

    def test_drops_an_idle_connection_that_brings_bytes(self):
        self.begin()
        self.connection.dataReceived(answer(b"r1"))
        self.connection.dataReceived(answer(b"r1"))
        self.assertTrue(self.wire.is_aborted)
        self.assertFalse(self.connection.is_usable(True))

    def test_a_cut_answer_is_broken(self):
        exchange = self.begin()
        self.connection.dataReceived(answer(b"r1")[:-2])
        self.connection.connectionLost(Failure(ConnectionDone()))
        self.assertEqual(self.read_all(exchange), (b"who", "broken"))

    def test_an_answer_without_length_ends_with_a_clean_close_only(self):
        data = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nwhole"
        for reason, end in ((ConnectionDone(), "whole"), (ConnectionLost(), "broken")):
            self.setUp()
            exchange = self.begin()
            self.connection.dataReceived(data)
            self.connection.connectionLost(Failure(reason))
            self.assertEqual(self.read_all(exchange), (b"whole", end))
            self.assertEqual(self.free, [])

    def test_bytes_that_are_no_answer_break_the_exchange(self):
        exchange = self.begin()
        self.connection.dataReceived(b"\x00\x01 not http\r\n\r\n")
        self.assertIsInstance(self.take_head(exchange).value, ReplyBroken)
        self.assertTrue(self.wire.is_aborted)

    def test_is_reused_only_while_the_server_keeps_it(self):
        self.begin()
        self.connection.dataReceived(answer(b"r1", extra=b"Keep-Alive: timeout=4\r\n"))
        self.time.advance(timedelta(seconds=1.9))
        self.assertTrue(self.connection.is_usable(False))
        self.time.advance(timedelta(seconds=0.2))
        self.assertFalse(self.connection.is_usable(False))
        self.assertTrue(self.connection.is_usable(True))
        self.time.advance(timedelta(seconds=1.2))
        self.assertFalse(self.connection.is_usable(True))

    def test_closes_after_an_answer_that_says_so(self):
        exchange = self.begin()
        self.connection.dataReceived(answer(b"r1", extra=b"Connection: close\r\n"))
        self.assertEqual(self.read_all(exchange), (b"whole", "whole"))
        self.assertEqual(self.free, [])

    def test_an_abort_closes_the_connection(self):
        exchange = self.begin()
        exchange.abort()
        self.assertTrue(self.wire.is_aborted)


if __name__ == "__main__":
    unittest.main()
