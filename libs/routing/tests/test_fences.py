import unittest
from datetime import timedelta

from balsamspoke_fakes import VirtualClock, VirtualTime
from balsamspoke_routing.fences import FenceDesk
from balsamspoke_types.identifiers import AttemptId, ProcessId
from balsamspoke_types.messages import AttemptFenced, FenceAttempt

SIDE = ProcessId("side", 1)
ATTEMPT = AttemptId(ProcessId("entry", 1), 7)
WAIT = timedelta(milliseconds=250)


class FenceDeskTest(unittest.TestCase):
    def setUp(self):
        self.time = VirtualTime()
        self.sent = []
        self.answers = []
        self.desk = FenceDesk(
            VirtualClock(self.time), lambda *sent: self.sent.append(sent), WAIT
        )
        self.desk.ask(SIDE, ATTEMPT).addCallback(self.answers.append)

    def test_answer_of_the_run_that_was_asked(self):
        self.desk.take_answer(SIDE, AttemptFenced(ATTEMPT, False))
        self.time.advance(WAIT)
        self.assertEqual(self.answers, [False])
        self.assertEqual(self.sent, [(SIDE, FenceAttempt(ATTEMPT))])

    def test_another_run_of_the_same_vm_promises_nothing(self):
        restarted = ProcessId(SIDE.vm, 2)
        self.desk.take_answer(restarted, AttemptFenced(ATTEMPT, False))
        self.assertEqual(self.answers, [])
        self.time.advance(WAIT)
        self.assertEqual(self.answers, [None])

    def test_late_answer_is_dropped(self):
        self.time.advance(WAIT)
        self.desk.take_answer(SIDE, AttemptFenced(ATTEMPT, False))
        self.assertEqual(self.answers, [None])

    def test_two_questions_share_an_answer(self):
        self.desk.ask(SIDE, ATTEMPT).addCallback(self.answers.append)
        self.desk.take_answer(SIDE, AttemptFenced(ATTEMPT, True))
        self.time.advance(WAIT)
        self.assertEqual(self.answers, [True, True])
