import unittest
from datetime import timedelta

from balsamspoke_fakes import VirtualClock, VirtualTime
from balsamspoke_replica.outbox import Outbox
from balsamspoke_types.identifiers import AttemptId, ProcessId
from balsamspoke_types.messages import CancelAttempt, TokenChunk, TokensProduced

PEER = ProcessId("entry", 1)
ATTEMPT = AttemptId(PEER, 1)
COLLECT_TIME = timedelta(milliseconds=5)


def make_chunk(offset):
    return TokenChunk(ATTEMPT, offset, "a ", 1)


class OutboxTest(unittest.TestCase):
    def setUp(self):
        self.time = VirtualTime()
        self.sent = []
        clock = VirtualClock(self.time)
        self.outbox = Outbox(
            clock, lambda _, sent: self.sent.append(sent), COLLECT_TIME
        )

    def add(self, *offsets):
        for offset in offsets:
            self.outbox.add_chunk(PEER, make_chunk(offset))

    def read_offsets(self):
        return [
            [chunk.offset for chunk in message.chunks]
            for message in self.sent
            if isinstance(message, TokensProduced)
        ]

    def test_token_after_an_idle_time_is_sent_immediately(self):
        self.add(0)
        self.assertEqual(self.read_offsets(), [[0]])
        self.time.advance(COLLECT_TIME)
        self.add(1)
        self.assertEqual(self.read_offsets(), [[0], [1]])

    def test_tokens_in_a_burst_share_a_message(self):
        self.add(0, 1, 2, 3)
        self.time.advance(COLLECT_TIME)
        self.assertEqual(self.read_offsets(), [[0], [1, 2, 3]])

    def test_other_messages_stay_behind_the_tokens(self):
        self.add(0, 1)
        self.outbox.send(PEER, CancelAttempt(ATTEMPT))
        self.assertEqual(self.read_offsets(), [[0], [1]])
        self.assertIsInstance(self.sent[-1], CancelAttempt)

    def test_dropped_peer_receives_nothing_more(self):
        self.add(0, 1)
        self.outbox.drop(PEER)
        self.time.advance(COLLECT_TIME)
        self.assertEqual(self.read_offsets(), [[0]])
