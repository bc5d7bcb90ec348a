import unittest
from datetime import timedelta

from balsamspoke_types.messages import (
    AttemptFailed,
    AttemptRefused,
    FenceAttempt,
    ServiceAnswered,
)
from balsamspoke_types.outcomes import Cause

from .bench import ENTRY, Bench


class TestServiceReplica(unittest.TestCase):
    def test_call_is_answered_once(self):
        bench = Bench().start_service()
        message = bench.call()
        bench.tell(message)
        bench.advance(100)
        bench.tell(message)
        bench.advance(100)
        self.assertEqual(len(bench.service.calls), 1)
        (answer,) = bench.find(message.attempt)
        self.assertIsInstance(answer, ServiceAnswered)
        self.assertEqual(answer.response.body, b"call 1")

    def test_unreachable_service_is_not_run(self):
        bench = Bench().start_service()
        bench.service.up = False
        message = bench.call()
        bench.advance(100)
        self.assertIsInstance(bench.find(message.attempt)[0], AttemptRefused)
        self.assertFalse(bench.replica.report().accepting)

    def test_lost_answer_is_unknown(self):
        bench = Bench().start_service()
        bench.service.loses_answers = True
        message = bench.call()
        bench.advance(100)
        self.assertIsInstance(bench.find(message.attempt)[0], AttemptFailed)

    def test_fenced_call_never_runs(self):
        bench = Bench(service_concurrency=1).start_service()
        bench.call()
        message = bench.call()
        bench.tell(FenceAttempt(message.attempt))
        bench.tell(message)
        bench.advance(100)
        self.assertEqual(len(bench.service.calls), 1)
        self.assertFalse(bench.find(message.attempt)[0].handed_over)

    def test_key_withdrawn_while_queued(self):
        bench = Bench(service_concurrency=1).start_service()
        bench.call()
        message = bench.call(key_record="key-1")
        bench.withdrawn.add("key-1")
        bench.advance(100)
        self.assertEqual(bench.find(message.attempt)[0].cause, Cause.KEY_REJECTED)

    def test_disconnected_entry(self):
        bench = Bench(service_concurrency=1).start_service()
        first = bench.call()
        bench.call()
        bench.replica.peer_disconnected(ENTRY)
        bench.advance(100)
        self.assertEqual(len(bench.service.calls), 1)
        self.assertEqual(len(bench.find(first.attempt)), 1)

    def test_drain_waits_for_calls(self):
        bench = Bench(service_concurrency=1).start_service()
        first, second = bench.call(), bench.call()
        done = []
        bench.replica.drain().addCallback(done.append)
        self.assertEqual(bench.find(second.attempt)[0].cause, Cause.STOPPING)
        self.assertEqual(done, [])
        bench.advance(100)
        self.assertEqual(done, [None])
        self.assertIsInstance(bench.find(first.attempt)[0], ServiceAnswered)

    def test_deadline_passed_while_paused(self):
        bench = Bench(service_concurrency=1).start_service()
        bench.call()
        message = bench.call(deadline=timedelta(milliseconds=100))
        bench.clock.pause()
        bench.advance(1000)
        bench.clock.resume()
        self.assertEqual(bench.find(message.attempt)[0].cause, Cause.DEADLINE)
        self.assertEqual(len(bench.service.calls), 1)
