import unittest
from datetime import timedelta

from balsamspoke_fakes import VirtualClock, VirtualTime
from balsamspoke_gateway.observing import Observer, TimersLate
from balsamspoke_transport.lateness import (
    LATENESS_BOUND,
    PROBE_INTERVAL,
    REPORT_INTERVAL,
    TimerProbe,
)


class SlowClock(VirtualClock):
    """A clock whose timers run late."""

    lateness = timedelta(0)

    def call_later(self, delay, function, *arguments):
        return super().call_later(delay + self.lateness, function, *arguments)


class Events(Observer):
    def __init__(self):
        self.events = []

    def observe(self, event):
        self.events.append(event)


class TimerProbeTests(unittest.TestCase):
    def setUp(self):
        self.time = VirtualTime()
        self.clock = SlowClock(self.time)
        self.recorded = []
        self.observer = Events()
        TimerProbe(self.clock, self.recorded.append, self.observer).start()

    def test_records_each_lateness_and_logs_none_within_the_bound(self):
        self.clock.lateness = LATENESS_BOUND
        self.time.advance(10 * PROBE_INTERVAL)
        self.assertEqual(self.recorded[0], timedelta(0))
        self.assertEqual(set(self.recorded[1:]), {LATENESS_BOUND})
        self.assertEqual(self.observer.events, [])

    def test_logs_the_longest_lateness_once_in_an_interval(self):
        self.clock.lateness = timedelta(seconds=1)
        self.time.advance(2 * PROBE_INTERVAL + timedelta(seconds=1))
        self.assertEqual(self.observer.events, [TimersLate(timedelta(seconds=1))])
        self.clock.lateness = timedelta(seconds=2)
        self.time.advance(timedelta(seconds=6))
        self.assertEqual(len(self.observer.events), 1)
        self.clock.lateness = timedelta(0)
        self.time.advance(REPORT_INTERVAL)
        self.assertEqual(self.observer.events[1:], [TimersLate(timedelta(seconds=2))])
