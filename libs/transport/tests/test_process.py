import unittest
from datetime import timedelta
from unittest import mock

from balsamspoke_fakes import VirtualClock, VirtualTime
from balsamspoke_transport.process import FLUSH_TIME, StopHandler, drain
from twisted.internet.defer import Deferred


def seconds(number):
    return timedelta(seconds=number)


class BusyProcess:
    """A fake process whose callers continue to send on their open connections."""

    stop_grace = seconds(8)
    has_callers = True

    def __init__(self, clock, duration):
        self._clock = clock
        self._duration = duration
        self.open_requests = 0
        self.is_refusing = False
        self.is_listening = True
        self.open_connections = 1
        self.refused = 0
        self.last_accepted_at = None
        self._send_request()

    def _send_request(self):
        if self.is_refusing:
            self.refused += 1
        else:
            self.open_requests += 1
            self.last_accepted_at = self._clock.monotonic()
            self._clock.call_later(self._duration, self._end_request)
        self._clock.call_later(seconds(0.05), self._send_request)

    def _end_request(self):
        self.open_requests -= 1

    def begin_stop(self):
        pass

    def begin_refusal(self):
        self.is_refusing = True

    def end_requests(self):
        self.ended_at = self._clock.monotonic()
        self.ended_requests, self.open_requests = self.open_requests, 0

    def stop_listening(self):
        self.is_listening = False

    def close_idle(self):
        if self.open_requests == 0:
            self._clock.call_later(seconds(0.15), self._flush)

    def _flush(self):
        self.open_connections = 0


class LateClock(VirtualClock):
    """A clock whose timers fire somewhat late, as on a busy machine."""

    def call_later(self, delay, function, *arguments):
        return super().call_later(delay + seconds(0.01), function, *arguments)


class StopHandlerTests(unittest.TestCase):
    def test_stops_the_reactor_only_once(self):
        # Found by the soak test (seed 3): a second SIGTERM wrote a traceback.
        reactor = mock.Mock()
        handler = StopHandler(reactor)
        handler(15, None)
        handler(15, None)
        reactor.callFromThread.assert_called_once_with(reactor.stop)


class DrainTests(unittest.TestCase):
    def drain(self, duration, time_limit=9):
        time = VirtualTime()
        clock = VirtualClock(time)
        process = BusyProcess(clock, duration)
        time.advance(seconds(1))
        ended = []
        draining = Deferred.fromCoroutine(drain(clock, process))
        draining.addCallback(lambda _: ended.append(time.elapsed - seconds(1)))
        time.advance(seconds(time_limit))
        return process, ended[0]

    def test_refuses_late_requests_and_completes_open_ones(self):
        # Found in the scenario stops-in-series (seed 581941121306): requests received
        # shortly before the process ended were forwarded and then cut off by its end.
        process, ended = self.drain(seconds(1))
        self.assertEqual(process.open_requests, 0)
        self.assertGreater(process.refused, 0)
        self.assertLess(ended, seconds(4.5))

    def test_accepts_nothing_that_its_end_may_cut_also_with_late_timers(self):
        # Load pattern: full engines, so streams last for longer than the grace. One
        # that was taken 3.01 s after the stop was cut at its end.
        time = VirtualTime()
        clock = LateClock(time)
        process = BusyProcess(clock, seconds(60))
        stopped_at = clock.monotonic()
        Deferred.fromCoroutine(drain(clock, process))
        time.advance(seconds(9))
        self.assertLessEqual(process.last_accepted_at - stopped_at, seconds(3))

    def test_waits_until_the_last_response_is_flushed(self):
        # Found on the test bench: the end of a stream was still buffered when the
        # process ended 5 ms after it.
        process, _ = self.drain(seconds(1))
        self.assertEqual(process.open_connections, 0)
        self.assertFalse(process.is_listening)

    def test_ends_before_the_kill_despite_open_requests(self):
        _, ended = self.drain(seconds(60))
        self.assertLess(ended, seconds(8))

    # Requests that were still open at the end of a stop were cut with no answer.
    def test_ends_open_requests_with_an_answer_in_time_to_send_it(self):
        process, ended = self.drain(seconds(60))
        self.assertGreater(process.ended_requests, 0)
        answered_at = process.ended_at - seconds(1)
        self.assertGreaterEqual(answered_at, seconds(7.4))
        self.assertGreaterEqual(ended - answered_at, FLUSH_TIME)

    def test_accepts_requests_until_the_balancer_has_removed_the_process(self):
        time = VirtualTime()
        clock = VirtualClock(time)
        process = BusyProcess(clock, seconds(1))
        Deferred.fromCoroutine(drain(clock, process))
        time.advance(seconds(2.5))
        self.assertEqual(process.refused, 0)


if __name__ == "__main__":
    unittest.main()
