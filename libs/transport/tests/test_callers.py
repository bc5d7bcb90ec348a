import itertools
import unittest
from datetime import timedelta
from unittest import mock

from balsamspoke_fakes.properties import examples
from balsamspoke_gateway.configuration import CallerLimits
from balsamspoke_transport import callers
from balsamspoke_transport.caller_exchanges import find_reason_phrase
from balsamspoke_transport.callers import MAX_BYTES_PER_TURN, CallerFactory
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.error import ConnectionLost
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

LIMITS = CallerLimits(
    header_bytes=400,
    body_bytes=10,
    header_timeout=timedelta(seconds=2),
    idle_timeout=timedelta(seconds=6),
)
REQUEST_HEAD = b"POST /a HTTP/1.1\r\nHost: x\r\n"


def write_request(framing, body):
    """Return a request with no body, one with a length, or one in small chunks."""
    if framing == "n":
        return REQUEST_HEAD + b"\r\n"
    if framing == "l":
        return REQUEST_HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body
    pieces = [body[begin : begin + 7] for begin in range(0, len(body), 7)]
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(each), each) for each in pieces)
    head = REQUEST_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    return head + chunks + b"0\r\n\r\n"


class CallerLimitTests(unittest.TestCase):
    def setUp(self):
        patch = mock.patch.object(callers, "enable_keepalive")
        patch.start()
        self.addCleanup(patch.stop)
        self.clock = Clock()
        self.limits = LIMITS
        self.answer_delay = 0
        self.bodies = []
        factory = CallerFactory(
            self.clock,
            lambda: self.limits,
            self.handle_request,
            None,
            None,
            lambda: False,
        )
        self.channel = factory.buildProtocol(None)
        self.transport = StringTransport()
        self.channel.makeConnection(self.transport)

    def handle_request(self, exchange):
        self.bodies.append(exchange.content.read())
        if self.answer_delay:
            self.clock.callLater(self.answer_delay, self.answer, exchange)
        else:
            self.answer(exchange)

    @staticmethod
    def answer(exchange):
        exchange.start(200, (), 2)
        exchange.write(b"ok")
        exchange.finish()

    def send(self, data):
        self.channel.dataReceived(data)
        self.pass_turns()

    def pass_turns(self):
        """Let the event loop go on with what exceeds a turn."""
        self.clock.advance(0)

    def advance_time(self, seconds):
        for _ in range(round(seconds * 10)):
            self.clock.advance(0.1)

    def test_buffers_only_one_byte_of_a_body_beyond_the_limit(self):
        self.send(REQUEST_HEAD + b"Content-Length: 30\r\n\r\n" + b"a" * 30)
        chunks = b"8\r\naaaaaaaa\r\n" * 4 + b"0\r\n\r\n"
        self.send(REQUEST_HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunks)
        self.assertEqual([len(each) for each in self.bodies], [11, 11])

    # A caller's small chunks held up all else in the process.
    def test_small_chunks_take_several_turns(self):
        self.limits = CallerLimits()
        chunks = b"1\r\na\r\n" * 1300
        self.channel.dataReceived(REQUEST_HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
        self.channel.dataReceived(chunks + b"0\r\n\r\n")
        received = self.channel.requests[0].content.tell()
        self.assertLessEqual(received, MAX_BYTES_PER_TURN)
        self.assertEqual(self.transport.producerState, "paused")
        self.pass_turns()
        self.assertEqual(self.bodies, [b"a" * 1300])
        self.assertEqual(self.transport.producerState, "producing")

    # Hundreds of requests that came together were answered before anything else ran.
    def test_requests_that_come_together_are_answered_one_a_turn(self):
        request = REQUEST_HEAD + b"Content-Length: 0\r\n\r\n"
        self.channel.dataReceived(request * 300)
        self.assertEqual(len(self.bodies), 1)
        self.pass_turns()
        self.assertEqual(len(self.bodies), 300)
        self.assertEqual(self.transport.value().count(b" 200 "), 300)
        self.assertEqual(self.transport.producerState, "producing")

    # A caller whose reads were resumed before its turn filled the memory.
    def test_reading_pauses_again_if_it_was_resumed_before_its_turn(self):
        request = REQUEST_HEAD + b"Content-Length: 0\r\n\r\n"
        self.channel.dataReceived(request * 300)
        self.transport.resumeProducing()
        self.channel.dataReceived(request * 300)
        self.assertEqual(self.transport.producerState, "paused")
        self.pass_turns()
        self.assertEqual(len(self.bodies), 600)

    @examples(100)
    @given(
        st.lists(st.tuples(st.sampled_from("nlc"), st.integers(0, 6000)), max_size=5),
        st.lists(st.integers(0, 30_000), max_size=12),
        st.booleans(),
    )
    def test_any_split_of_requests_that_come_together_gives_the_same(
        self, requests, cuts, is_answered_at_once
    ):
        self.setUp()
        self.limits = CallerLimits()
        if not is_answered_at_once:
            self.answer_delay = 0.05
        bodies = [
            b"" if framing == "n" else bytes([97 + number]) * size
            for number, (framing, size) in enumerate(requests)
        ]
        framings = (framing for framing, _ in requests)
        data = b"".join(map(write_request, framings, bodies))
        places = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
        for begin, end in itertools.pairwise(places):
            if end > begin:
                self.channel.dataReceived(data[begin:end])
                self.clock.advance(0.01)
        self.advance_time(1)
        self.assertEqual(self.bodies, bodies)
        self.assertEqual(self.transport.value().count(b" 200 "), len(requests))

    def test_a_connection_that_is_lost_between_two_turns_answers_no_more(self):
        request = REQUEST_HEAD + b"Content-Length: 0\r\n\r\n"
        self.channel.dataReceived(request * 300)
        self.channel.connectionLost(Failure(ConnectionLost()))
        self.pass_turns()
        self.assertEqual(len(self.bodies), 1)

    def test_a_long_body_with_a_length_takes_one_turn(self):
        self.limits = CallerLimits()
        body = b"a" * 100 * MAX_BYTES_PER_TURN
        head = REQUEST_HEAD + b"Content-Length: %d\r\n\r\n" % len(body)
        self.channel.dataReceived(head + body)
        self.assertEqual(self.bodies, [body])

    def test_accepts_a_body_of_the_maximum_length(self):
        self.send(REQUEST_HEAD + b"Content-Length: 10\r\n\r\n" + b"a" * 10)
        self.assertEqual(self.bodies, [b"a" * 10])

    def test_closes_the_connection_on_a_head_beyond_the_limit(self):
        self.send(REQUEST_HEAD + b"Long: " + b"a" * 500 + b"\r\n\r\n")
        self.assertEqual(self.bodies, [])
        self.assertTrue(self.transport.disconnecting)

    def test_accepts_one_long_header_line_within_the_limit(self):
        self.limits = CallerLimits(header_bytes=40_000)
        self.send(
            REQUEST_HEAD + b"Long: " + b"a" * 30_000 + b"\r\nContent-Length: 0\r\n\r\n"
        )
        self.assertEqual(self.bodies, [b""])

    def test_header_timeout_ends_a_head_sent_byte_by_byte(self):
        for byte in REQUEST_HEAD[:21]:
            self.send(bytes([byte]))
            self.advance_time(0.1)
        self.assertTrue(self.transport.value().startswith(b"HTTP/1.1 408 "))
        self.assertTrue(self.transport.disconnecting)

    def test_idle_timeout_applies_to_a_body_and_between_requests(self):
        self.send(REQUEST_HEAD + b"Content-Length: 2\r\n\r\n")
        self.advance_time(5)
        self.send(b"a")
        self.advance_time(5)
        self.send(b"a")
        self.advance_time(5)
        self.assertFalse(self.transport.disconnecting)
        self.advance_time(1.5)
        self.assertTrue(self.transport.disconnecting)
        self.assertNotIn(b" 408 ", self.transport.value())

    def test_idle_timeout_ends_an_incomplete_body(self):
        self.send(REQUEST_HEAD + b"Content-Length: 2\r\n\r\na")
        self.advance_time(6.5)
        self.assertTrue(self.transport.value().startswith(b"HTTP/1.1 408 "))
        self.assertEqual(self.bodies, [])

    def test_applies_the_limits_of_a_new_configuration(self):
        self.limits = CallerLimits(body_bytes=20)
        self.send(REQUEST_HEAD + b"Content-Length: 15\r\n\r\n" + b"a" * 15)
        self.assertEqual(self.bodies, [b"a" * 15])


class ReasonPhraseTests(unittest.TestCase):
    def test_uses_the_standard_phrase_of_any_status(self):
        self.assertEqual(find_reason_phrase(429), b"Too Many Requests")
        self.assertEqual(find_reason_phrase(200), b"OK")
        self.assertEqual(find_reason_phrase(799), b"")
