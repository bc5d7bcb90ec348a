import itertools
import unittest
from datetime import timedelta

from balsamspoke_fakes import VirtualClock, VirtualTime
from balsamspoke_fakes.properties import examples
from balsamspoke_transport.connections import MAX_EVENTS_PER_TURN, HttpConnection
from balsamspoke_transport.exceptions import (
    ReplyBroken,
    ReplyCutOff,
    RequestMalformed,
)
from balsamspoke_transport.exchanges import HttpExchange
from balsamspoke_transport.http_requests import HttpRequest
from balsamspoke_transport.send_monitor import SendMonitor
from balsamspoke_transport.turns import MAX_CONNECTIONS_PER_TURN, TurnQueue
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


class ExchangeTests(unittest.TestCase):
    """Tests of a connection whose server sends given bytes."""

    def setUp(self):
        self.time = VirtualTime()
        self.idle = []
        clock = VirtualClock(self.time)
        self.connection = HttpConnection(
            clock,
            TurnQueue(clock),
            SendMonitor(clock),
            self.idle.append,
            lambda _: None,
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

    def read_status(self, exchange):
        """Return the status of the response; None if there is none."""
        head = self.read_head_result(exchange)
        if isinstance(head, Failure):
            head.trap(ReplyBroken)
            return None
        return None if head is None else head.status

    def close_cleanly(self):
        """Let the server close the connection in good order."""
        self.connection.readConnectionLost()
        self.connection.connectionLost(Failure(ConnectionDone()))


class ConnectionTests(ExchangeTests):
    def test_sends_the_request_with_its_length(self):
        self.send_request(body=b"abc")
        sent = self.transport.value()
        self.assertTrue(sent.startswith(b"POST /x HTTP/1.1\r\n"))
        self.assertIn(b"Content-Length: 3\r\n", sent)
        self.assertTrue(sent.endswith(b"\r\n\r\nabc"))

    # It failed outside of its exchange, and its caller waited until the timeout.
    def test_a_request_that_cannot_be_written_fails_at_once(self):
        headers = (*HEADERS, (b"X-Odd", b"a\x0bb"))
        exchange = HttpExchange(HttpRequest(b"GET", b"/x", headers), b"request-id")
        self.connection.start_exchange(exchange)
        self.assertIsInstance(self.read_head_result(exchange).value, RequestMalformed)
        self.assertTrue(self.transport.is_aborted)

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

    def test_a_closed_connection_is_told_from_one_that_was_lost(self):
        for reason, is_cut_off in ((ConnectionDone(), True), (ConnectionLost(), False)):
            self.setUp()
            exchange = self.send_request()
            self.connection.connectionLost(Failure(reason))
            error = self.read_head_result(exchange).value
            self.assertEqual(isinstance(error, ReplyCutOff), is_cut_off)

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

    # Elsewhere a head that was cut off came to callers as a whole answer.
    def test_a_head_that_is_cut_off_is_no_answer(self):
        framings = (
            b"Content-Length: 0\r\n",
            b"Content-Length: 5\r\n",
            b"Transfer-Encoding: chunked\r\n",
            b"Content-Type: text/event-stream\r\n",
            b"",
        )
        reasons = (ConnectionDone(), ConnectionLost())
        for framing, reason, is_kept, has_pause in itertools.product(
            framings, reasons, (True, False), (True, False)
        ):
            head = b"HTTP/1.1 200 OK\r\nRequest-Id: r2\r\nX: s\r\n%s\r\n" % framing
            for size in range(len(head)):
                self.setUp()
                if is_kept:
                    self.send_request(b"r1")
                    self.connection.dataReceived(make_response(b"r1"))
                exchange = self.send_request(b"r2")
                middle = size // 2 if has_pause else 0
                for piece in filter(None, (head[:middle], head[middle:size])):
                    self.connection.dataReceived(piece)
                self.connection.connectionLost(Failure(reason))
                result = self.read_head_result(exchange)
                self.assertIsInstance(result, Failure, head[:size])
                result.trap(ReplyBroken)

    def receive_small_chunks(self, count):
        head = (
            b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        self.connection.dataReceived(head + b"1;x=y\r\na\r\n" * count)

    def pass_turn(self):
        self.time.advance(timedelta(0))

    # One replica's endless body of small chunks held up all else in the process.
    def test_a_connection_does_a_bounded_amount_of_work_in_a_turn(self):
        exchange = self.send_request()
        count = 10 * MAX_EVENTS_PER_TURN
        pieces = []
        self.read_on(exchange, pieces)
        # In virtual time a later turn comes at the same moment, so this test runs them.
        turns = []
        self.connection._turns.add = turns.append
        self.receive_small_chunks(count)
        received = 0
        self.assertEqual(len(turns), 1)
        while turns:
            self.assertEqual(self.transport.producerState, "paused")
            self.assertLessEqual(len(b"".join(pieces)) - received, MAX_EVENTS_PER_TURN)
            received = len(b"".join(pieces))
            if not turns[0]():
                turns.pop()
        self.assertEqual(b"".join(pieces), b"a" * count)
        self.assertEqual(self.transport.producerState, "producing")

    def read_on(self, exchange, pieces):
        """Add the pieces of a body to a list as they come."""

        def add(piece):
            pieces.append(piece)
            if piece:
                self.read_on(exchange, pieces)

        exchange.read_piece().addCallback(add)

    # Each small chunk was handed on by itself, with a timer and a turn of a coroutine.
    def test_chunks_that_come_together_are_handed_on_as_one_piece(self):
        exchange = self.send_request()
        pieces = []
        exchange.read_piece().addCallback(pieces.append)
        self.receive_small_chunks(20)
        self.assertEqual(pieces, [b"a" * 20])

    def test_the_rest_of_a_body_follows_in_later_turns(self):
        exchange = self.send_request()
        self.receive_small_chunks(1000)
        self.connection.dataReceived(b"0\r\n\r\n")
        self.pass_turn()
        self.assertEqual(self.read_all(exchange), (b"a" * 1000, "whole"))
        self.assertEqual(self.idle, [self.connection])
        self.assertEqual(self.transport.producerState, "producing")

    def test_an_exchange_that_is_aborted_does_no_more_work(self):
        exchange = self.send_request()
        self.receive_small_chunks(1000)
        exchange.abort()
        self.pass_turn()
        self.assertTrue(self.transport.is_aborted)
        self.assertEqual(self.transport.producerState, "paused")

    def test_what_came_before_malformed_bytes_is_handed_on(self):
        exchange = self.send_request()
        self.receive_small_chunks(3)
        self.connection.dataReceived(b"1\r\nbnot a chunk\r\n")
        self.assertEqual(self.read_all(exchange), (b"aaab", "broken"))


class TurnQueueTests(unittest.TestCase):
    def setUp(self):
        self.calls = []
        self.clock = RecordingClock(VirtualTime(), self.calls)
        self.queue = TurnQueue(self.clock)

    def make_work(self, name, steps):
        remaining = list(range(steps))

        def work():
            self.calls.append(name)
            remaining.pop()
            return bool(remaining)

        return work

    # A faulty replica's connections took a turn that grew with their number.
    def test_few_connections_go_on_in_each_turn_and_take_turns(self):
        count = 3 * MAX_CONNECTIONS_PER_TURN
        for name in range(count):
            self.queue.add(self.make_work(name, 2))
        self.clock.time.advance(timedelta(0))
        self.assertEqual(
            [each for each in self.calls if each != "turn"], [*range(count)] * 2
        )
        turns = " ".join(map(str, self.calls)).split("turn")
        sizes = [len(turn.split()) for turn in turns]
        self.assertEqual(max(sizes), MAX_CONNECTIONS_PER_TURN)

    def test_one_that_fails_does_not_stop_the_others(self):
        def fail():
            raise ValueError

        self.queue.add(fail)
        self.queue.add(self.make_work("other", 2))
        with self.assertRaises(ValueError):
            self.clock.time.advance(timedelta(0))
        self.clock.time.advance(timedelta(0))
        self.assertEqual(self.calls.count("other"), 2)


class RecordingClock(VirtualClock):
    def __init__(self, time, calls):
        super().__init__(time)
        self._calls = calls

    def call_later(self, delay, function, *arguments):
        def record():
            self._calls.append("turn")
            function(*arguments)

        return super().call_later(delay, record)


if __name__ == "__main__":
    unittest.main()
