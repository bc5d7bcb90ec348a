import unittest
from datetime import timedelta

from balsamspoke_types.messages import (
    AttemptFailed,
    AttemptRefused,
    FenceAttempt,
    ServiceAnswered,
)
from balsamspoke_types.outcomes import Cause

from .harness import ENTRY, ReplicaHarness


class TestServiceReplica(unittest.TestCase):
    def test_call_is_answered_once(self):
        harness = ReplicaHarness().start_service()
        message = harness.send_call()
        harness.deliver(message)
        harness.advance(100)
        harness.deliver(message)
        harness.advance(100)
        self.assertEqual(len(harness.service.calls), 1)
        (answer,) = harness.find_replies(message.attempt)
        self.assertIsInstance(answer, ServiceAnswered)
        self.assertEqual(answer.response.body, b"call 1")

    def test_call_to_an_unreachable_service_is_refused(self):
        harness = ReplicaHarness().start_service()
        harness.service.up = False
        message = harness.send_call()
        harness.advance(100)
        self.assertIsInstance(harness.find_replies(message.attempt)[0], AttemptRefused)
        self.assertFalse(harness.replica.report().accepting)

    def test_call_whose_answer_is_lost_fails(self):
        harness = ReplicaHarness().start_service()
        harness.service.loses_answers = True
        message = harness.send_call()
        harness.advance(100)
        self.assertIsInstance(harness.find_replies(message.attempt)[0], AttemptFailed)

    def test_fenced_call_never_runs(self):
        harness = ReplicaHarness(service_concurrency=1).start_service()
        harness.send_call()
        message = harness.send_call()
        harness.deliver(FenceAttempt(message.attempt))
        harness.deliver(message)
        harness.advance(100)
        self.assertEqual(len(harness.service.calls), 1)
        self.assertFalse(harness.find_replies(message.attempt)[0].handed_over)

    def test_key_withdrawn_while_queued(self):
        harness = ReplicaHarness(service_concurrency=1).start_service()
        harness.send_call()
        message = harness.send_call(key_record="key-1")
        harness.withdrawn_keys.add("key-1")
        harness.advance(100)
        self.assertEqual(
            harness.find_replies(message.attempt)[0].cause, Cause.KEY_REJECTED
        )

    def test_queued_call_of_a_disconnected_entry_process_never_runs(self):
        harness = ReplicaHarness(service_concurrency=1).start_service()
        first = harness.send_call()
        harness.send_call()
        harness.replica.peer_disconnected(ENTRY)
        harness.advance(100)
        self.assertEqual(len(harness.service.calls), 1)
        self.assertEqual(len(harness.find_replies(first.attempt)), 1)

    def test_drain_waits_for_calls(self):
        harness = ReplicaHarness(service_concurrency=1).start_service()
        first, second = harness.send_call(), harness.send_call()
        done = []
        harness.replica.drain().addCallback(done.append)
        self.assertEqual(harness.find_replies(second.attempt)[0].cause, Cause.STOPPING)
        self.assertEqual(done, [])
        harness.advance(100)
        self.assertEqual(done, [None])
        self.assertIsInstance(harness.find_replies(first.attempt)[0], ServiceAnswered)

    def test_deadline_passed_while_paused(self):
        harness = ReplicaHarness(service_concurrency=1).start_service()
        harness.send_call()
        message = harness.send_call(deadline=timedelta(milliseconds=100))
        harness.clock.pause()
        harness.advance(1000)
        harness.clock.resume()
        self.assertEqual(harness.find_replies(message.attempt)[0].cause, Cause.DEADLINE)
        self.assertEqual(len(harness.service.calls), 1)
