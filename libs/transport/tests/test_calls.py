import unittest
from datetime import timedelta

from balsamspoke_fakes import VirtualClock, VirtualTime
from balsamspoke_transport.calls import (
    MAX_RESPONSE_BYTES,
    MAX_RESPONSE_TIME,
    BufferedHttpClient,
)
from balsamspoke_transport.exceptions import ReplyBroken
from balsamspoke_transport.http_requests import Endpoint, HttpHead
from twisted.internet.defer import Deferred, succeed

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
