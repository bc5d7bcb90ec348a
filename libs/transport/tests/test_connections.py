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

HEADERS = ((b"Host", b"replica"),)


class FakeSocket:
    def setsockopt(self, *_):
        pass


class FakeTransport(StringTransport):
    is_aborted = False

    def setTcpNoDelay(self, _):
        pass

    def setTcpKeepAlive(self, _):
        pass

    def getHandle(self):
        return FakeSocket()

    def abortConnection(self):
        self.is_aborted = True


def make_response(request_id, body=b"whole", extra=b""):
    head = b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n%s\r\n"
    return head % (request_id, len(body), extra) + body


class ConnectionTests(unittest.TestCase):
    def setUp(self):
        self.time = VirtualTime()
        self.idle = []
        self.connection = HttpConnection(
            VirtualClock(self.time), self.idle.append, lambda _: None
        )
        self.transport = FakeTransport()
        self.connection.makeConnection(self.transport)

    def send_request(self, request_id=b"r1", body=b"", is_idempotent=True):
        request = HttpRequest(b"POST", b"/x", HEADERS, body, request_id, is_idempotent)
        exchange = HttpExchange(request, b"request-id")
        self.connection.start_exchange(exchange)
        return exchange

    def read_all(self, exchange):
        """Return the body read so far, and ``waiting``, ``broken`` or ``whole``."""
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

    def read_head_result(self, exchange):
        heads = []
        exchange.read_head().addBoth(heads.append)
        return heads[0] if heads else None

    def test_sends_the_request_with_its_length(self):
        self.send_request(body=b"abc")
        sent = self.transport.value()
        self.assertTrue(sent.startswith(b"POST /x HTTP/1.1\r\n"))
        self.assertIn(b"Content-Length: 3\r\n", sent)
        self.assertTrue(sent.endswith(b"\r\n\r\nabc"))

    def test_reads_a_whole_response_and_is_idle_again(self):
        exchange = self.send_request()
        self.connection.dataReceived(make_response(b"r1"))
        self.assertEqual(self.read_head_result(exchange).status, 200)
        self.assertEqual(self.read_all(exchange), (b"whole", "whole"))
        self.assertEqual(self.idle, [self.connection])

    @examples(100)
    @given(st.lists(st.integers(0, 120), max_size=8))
    def test_any_split_of_the_bytes_gives_the_same_response(self, splits):
        self.setUp()
        exchange = self.send_request()
        data = make_response(b"r1")
        bounds = [0, *sorted(min(point, len(data)) for point in splits), len(data)]
        for first, last in itertools.pairwise(bounds):
            if last > first:
                self.connection.dataReceived(data[first:last])
        self.assertEqual(self.read_head_result(exchange).status, 200)
        self.assertEqual(self.read_all(exchange), (b"whole", "whole"))

    def test_skips_a_response_to_an_earlier_request(self):
        exchange = self.send_request(b"r2")
        self.connection.dataReceived(
            make_response(b"r1", b"stale") + make_response(b"r2", b"own")
        )
        self.assertEqual(self.read_head_result(exchange).find(b"request-id"), b"r2")
        self.assertEqual(self.read_all(exchange), (b"own", "whole"))

    def answer_second_request(self, *responses):
        """Send two requests, and answer the second; return its head and its end."""
        self.setUp()
        self.send_request(b"r1")
        self.connection.dataReceived(make_response(b"r1"))
        exchange = self.send_request(b"r2", is_idempotent=False)
        self.connection.dataReceived(b"".join(responses))
        head = self.read_head_result(exchange)
        if isinstance(head, Failure):
            head.trap(ReplyBroken)
            return None, "broken"
        return head, None if head is None else self.read_all(exchange)

    def test_a_refusal_written_once_more_refuses_no_other_request(self):
        own = make_response(b"r2", b"own")
        for ids in ((b"r1",), (), (b"r1", b"r2"), (b"r2", b"r1")):
            lines = b"".join(b"Request-Id: %s\r\n" % each for each in ids)
            again = b"HTTP/1.1 503 Full\r\nNot-Run: 1\r\n%sContent-Length: 0\r\n\r\n"
            for rest in (b"", own):
                with self.subTest(ids=ids, rest=rest):
                    head, end = self.answer_second_request(again % lines, rest)
                    if ids != (b"r1",):
                        self.assertEqual((head, end), (None, "broken"))
                        self.assertTrue(self.transport.is_aborted)
                    elif rest:
                        self.assertEqual((head.status, end), (200, (b"own", "whole")))
                    else:
                        self.assertIsNone(head)

    def test_the_only_request_of_a_connection_needs_no_id_in_its_answer(self):
        exchange = self.send_request()
        self.connection.dataReceived(b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n")
        self.assertEqual(self.read_head_result(exchange).status, 503)

    def test_does_not_reuse_a_connection_with_bytes_after_the_response(self):
        exchange = self.send_request()
        self.connection.dataReceived(make_response(b"r1") + b"HTTP/1.1 200 OK\r\n")
        self.assertEqual(self.read_all(exchange), (b"whole", "whole"))
        self.assertEqual(self.idle, [])

    def test_closes_an_idle_connection_that_receives_bytes(self):
        self.send_request()
        self.connection.dataReceived(make_response(b"r1"))
        self.connection.dataReceived(make_response(b"r1"))
        self.assertTrue(self.transport.is_aborted)
        self.assertFalse(self.connection.is_usable(True))

    def test_a_truncated_response_is_broken(self):
        exchange = self.send_request()
        self.connection.dataReceived(make_response(b"r1")[:-2])
        self.connection.connectionLost(Failure(ConnectionDone()))
        self.assertEqual(self.read_all(exchange), (b"who", "broken"))

    def test_a_response_without_length_is_complete_only_after_a_clean_close(self):
        data = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nwhole"
        for reason, result in (
            (ConnectionDone(), "whole"),
            (ConnectionLost(), "broken"),
        ):
            self.setUp()
            exchange = self.send_request()
            self.connection.dataReceived(data)
            self.connection.connectionLost(Failure(reason))
            self.assertEqual(self.read_all(exchange), (b"whole", result))
            self.assertEqual(self.idle, [])

    def test_malformed_bytes_fail_the_exchange(self):
        exchange = self.send_request()
        self.connection.dataReceived(b"\x00\x01 not http\r\n\r\n")
        self.assertIsInstance(self.read_head_result(exchange).value, ReplyBroken)
        self.assertTrue(self.transport.is_aborted)

    def test_is_reused_only_within_the_keep_alive_timeout(self):
        self.send_request()
        self.connection.dataReceived(
            make_response(b"r1", extra=b"Keep-Alive: timeout=4\r\n")
        )
        self.time.advance(timedelta(seconds=1.9))
        self.assertTrue(self.connection.is_usable(False))
        self.time.advance(timedelta(seconds=0.2))
        self.assertFalse(self.connection.is_usable(False))
        self.assertTrue(self.connection.is_usable(True))
        self.time.advance(timedelta(seconds=1.2))
        self.assertFalse(self.connection.is_usable(True))

    def test_a_keep_alive_timeout_without_sense_costs_nothing(self):
        for timeout in (b"9" * 15, b"9" * 5000, b"-1", b"x"):
            with self.subTest(timeout=timeout[:20]):
                self.setUp()
                exchange = self.send_request()
                extra = b"Keep-Alive: timeout=%s\r\n" % timeout
                self.connection.dataReceived(make_response(b"r1", extra=extra))
                self.assertEqual(self.read_all(exchange), (b"whole", "whole"))
                self.time.advance(timedelta(hours=2))
                self.assertFalse(self.connection.is_usable(True))

    def test_a_head_without_an_end_fails_the_exchange(self):
        exchange = self.send_request()
        self.connection.dataReceived(b"HTTP/1.1 200 OK\r\n")
        for _ in range(100):
            if self.transport.is_aborted:
                break
            self.connection.dataReceived(b"x-field: " + b"y" * 1000 + b"\r\n")
        self.assertTrue(self.transport.is_aborted)
        self.assertEqual(self.read_all(exchange), (b"", "broken"))

    def test_closes_after_a_response_with_connection_close(self):
        exchange = self.send_request()
        self.connection.dataReceived(
            make_response(b"r1", extra=b"Connection: close\r\n")
        )
        self.assertEqual(self.read_all(exchange), (b"whole", "whole"))
        self.assertEqual(self.idle, [])

    def test_an_abort_closes_the_connection(self):
        exchange = self.send_request()
        exchange.abort()
        self.assertTrue(self.transport.is_aborted)


if __name__ == "__main__":
    unittest.main()
