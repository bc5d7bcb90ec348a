import unittest
from datetime import timedelta

from balsamspoke_replica.outbox import Outbox
from balsamspoke_replica.queueing import QueuedRequest
from balsamspoke_replica.streams import Stream, StreamBroken

from .harness import ENTRY, ReplicaHarness


class TestStream(unittest.TestCase):
    def setUp(self):
        harness = ReplicaHarness()
        self.ends = []
        message = harness.build_run(tokens=10, credit=3)
        request = QueuedRequest(message, ENTRY, timedelta(0), timedelta(9), 10)
        self.harness = harness
        outbox = Outbox(
            harness.clock,
            lambda peer, message: harness.sent.append((peer, message)),
            timedelta(milliseconds=5),
        )
        self.stream = Stream(
            request,
            timedelta(0),
            outbox,
            5,
            lambda stream, was_cancelled: None,
            lambda stream, finished, error: self.ends.append((finished, error)),
        )

    def test_gap_breaks_the_answer(self):
        self.stream.add_tokens(0, "a", 1)
        self.stream.add_tokens(2, "c", 1)
        ((finished, error),) = self.ends
        self.assertIsNone(finished)
        self.assertIsInstance(error, StreamBroken)

    def test_end_before_its_tokens_breaks_the_answer(self):
        self.stream.add_tokens(0, "a", 1)
        self.stream.finish("length", 3)
        self.assertIsInstance(self.ends[0][1], StreamBroken)

    def test_repeated_tokens_are_dropped(self):
        self.stream.add_tokens(0, "a", 1)
        self.stream.add_tokens(0, "a", 1)
        self.stream.add_tokens(1, "b", 1)
        self.harness.advance(10)
        attempt = self.stream.request.message.attempt
        self.assertEqual(self.harness.find_tokens(attempt), [(0, "a"), (1, "b")])

    def test_end_waits_for_tokens_without_credit(self):
        for number in range(4):
            self.stream.add_tokens(number, "x", 1)
        self.stream.finish("stop", 4)
        self.assertEqual(self.ends, [])
        self.stream.add_credit(1)
        self.assertEqual(self.ends[0][0].offset, 4)

    def test_engine_that_ignores_the_pause_breaks_the_answer(self):
        for number in range(10):
            self.stream.add_tokens(number, "x", 1)
        self.assertIsInstance(self.ends[0][1], StreamBroken)
