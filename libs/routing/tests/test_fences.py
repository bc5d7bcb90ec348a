import unittest
from datetime import timedelta

from balsamspoke_fakes import VirtualClock, VirtualTime
from balsamspoke_routing.fences import FenceClient
from balsamspoke_types.identifiers import AttemptId, ProcessId
from balsamspoke_types.messages import AttemptFenced, FenceAttempt

SIDE = ProcessId("side", 1)
ATTEMPT = AttemptId(ProcessId("entry", 1), 7)
TIMEOUT = timedelta(milliseconds=250)


class FenceClientTest(unittest.TestCase):
    def setUp(self):
        self.time = VirtualTime()
        self.sent = []
        self.answers = []
        self.client = FenceClient(
            VirtualClock(self.time), lambda *sent: self.sent.append(sent), TIMEOUT
        )
        self.client.request_fence(SIDE, ATTEMPT).addCallback(self.answers.append)

    def test_answer_of_the_addressed_instance_is_returned(self):
        self.client.handle_answer(SIDE, AttemptFenced(ATTEMPT, False))
        self.time.advance(TIMEOUT)
        self.assertEqual(self.answers, [False])
        self.assertEqual(self.sent, [(SIDE, FenceAttempt(ATTEMPT))])

    def test_answer_of_another_instance_on_the_vm_is_ignored(self):
        restarted = ProcessId(SIDE.vm, 2)
        self.client.handle_answer(restarted, AttemptFenced(ATTEMPT, False))
        self.assertEqual(self.answers, [])
        self.time.advance(TIMEOUT)
        self.assertEqual(self.answers, [None])

    def test_late_answer_is_dropped(self):
        self.time.advance(TIMEOUT)
        self.client.handle_answer(SIDE, AttemptFenced(ATTEMPT, False))
        self.assertEqual(self.answers, [None])

    def test_two_requests_share_an_answer(self):
        self.client.request_fence(SIDE, ATTEMPT).addCallback(self.answers.append)
        self.client.handle_answer(SIDE, AttemptFenced(ATTEMPT, True))
        self.time.advance(TIMEOUT)
        self.assertEqual(self.answers, [True, True])
