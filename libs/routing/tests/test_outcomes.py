import unittest
from datetime import timedelta

from balsamspoke_routing import AttemptSettings
from balsamspoke_types.identifiers import ProcessId
from balsamspoke_types.messages import (
    AttemptFenced,
    AttemptRefused,
    CallService,
    RunGeneration,
)
from balsamspoke_types.outcomes import Cause, Ran

from tests.checkers import check_all
from tests.simulation import MODEL, SERVICE, Simulation


class OutcomesTest(unittest.TestCase):
    def setUp(self):
        self.simulation = Simulation()

    def check(self):
        check_all(self.simulation.traces, self.simulation.hand_overs)

    def find_side_processes(self, service):
        return [
            side for side in self.simulation.side_processes if side.service == service
        ]

    def get_refusal(self, trace):
        ((kind, refusal),) = trace.ends
        self.assertEqual(kind, "refuse")
        return refusal

    def test_generation_is_answered(self):
        trace = self.simulation.generate()
        self.simulation.advance(5)
        self.assertEqual(trace.ends, [("finish", 20)])
        self.check()

    def test_generation_continues_where_the_engine_failed(self):
        trace = self.simulation.generate(tokens=60)
        for _ in range(3):
            self.simulation.advance(0.2)
            for side in self.simulation.side_processes:
                side.fail_running()
        self.simulation.advance(20)
        self.assertEqual(trace.ends, [("finish", 60)])
        self.check()
        attempts = {
            message.attempt: message
            for _, _, message in self.simulation.network.log
            if isinstance(message, RunGeneration)
        }
        self.assertEqual(len(attempts), 4)
        offsets = [
            attempt_message.resume_offset for attempt_message in attempts.values()
        ]
        self.assertEqual(offsets, sorted(set(offsets)))
        for attempt_message in attempts.values():
            self.assertTrue(trace.text.startswith(attempt_message.resume_text))
            self.assertEqual(
                attempt_message.resume_text.count(" "), attempt_message.resume_offset
            )

    def test_busy_replicas_refuse_as_not_run_at_once(self):
        for side in self.simulation.side_processes:
            side.is_busy = True
        traces = [
            self.simulation.generate(),
            self.simulation.call(),
            self.simulation.call(key="k"),
        ]
        self.simulation.advance(0.1)
        for trace in traces:
            refusal = self.get_refusal(trace)
            self.assertEqual(refusal.ran, Ran.NOT_RUN)
            self.assertEqual(refusal.cause, Cause.OVERLOADED)
            self.assertIsNotNone(refusal.retry_after)
        self.check()

    def test_requests_without_a_live_replica_are_refused(self):
        for side in self.simulation.side_processes:
            side.clock.kill()
        self.simulation.advance(1)
        traces = [
            self.simulation.generate(),
            self.simulation.call(),
            self.simulation.call(key="k"),
        ]
        causes = {self.get_refusal(trace).cause for trace in traces}
        self.assertEqual(causes, {Cause.NO_REPLICA})

    def test_withdrawn_key_is_refused_as_not_run(self):
        self.simulation.is_key_valid = False
        traces = [
            self.simulation.generate(),
            self.simulation.call(),
            self.simulation.call(key="k"),
        ]
        for trace in traces:
            refusal = self.get_refusal(trace)
            self.assertEqual(
                (refusal.cause, refusal.ran), (Cause.KEY_REJECTED, Ran.NOT_RUN)
            )
        self.check()

    def test_key_withdrawn_while_the_record_is_written(self):
        trace = self.simulation.call(key="k")
        self.simulation.is_key_valid = False
        self.simulation.advance(5)
        self.assertEqual(self.get_refusal(trace).cause, Cause.KEY_REJECTED)
        self.simulation.is_key_valid = True
        repeat = self.simulation.call(key="k")
        self.simulation.advance(5)
        self.assertEqual(repeat.ends[0][0], "answer")
        self.check()

    def test_started_answer_continues_after_key_withdrawal(self):
        trace = self.simulation.generate()
        self.simulation.advance(0.2)
        self.simulation.is_key_valid = False
        self.simulation.advance(5)
        self.assertEqual(trace.ends, [("finish", 20)])

    def test_repeat_through_another_entry_gets_the_saved_answer(self):
        first = self.simulation.call(key="k")
        self.simulation.advance(2)
        repeat = self.simulation.call(entry=1, key="k")
        self.simulation.advance(2)
        self.assertEqual(repeat.ends, first.ends)
        self.assertEqual(len(self.simulation.hand_overs), 1)
        self.check()

    def test_other_request_with_the_same_key_is_refused(self):
        self.simulation.call(key="k")
        self.simulation.advance(2)
        other = self.simulation.call(entry=1, key="k", body=b"other")
        self.simulation.advance(2)
        refusal = self.get_refusal(other)
        self.assertEqual((refusal.cause, refusal.ran), (Cause.KEY_REUSED, Ran.NOT_RUN))

    def test_repeat_while_in_progress_is_refused(self):
        self.simulation.call(key="k")
        self.simulation.advance(0.01)
        repeat = self.simulation.call(entry=1, key="k")
        self.simulation.advance(2)
        refusal = self.get_refusal(repeat)
        self.assertEqual((refusal.cause, refusal.ran), (Cause.IN_PROGRESS, Ran.UNKNOWN))
        self.assertIsNotNone(refusal.retry_after)
        self.check()

    def test_object_api_outage_refuses_a_keyed_call_as_not_run(self):
        self.simulation.store_state.available = False
        trace = self.simulation.call(key="k")
        self.simulation.advance(3)
        refusal = self.get_refusal(trace)
        self.assertEqual(
            (refusal.cause, refusal.ran), (Cause.RECORD_UNAVAILABLE, Ran.NOT_RUN)
        )
        self.simulation.advance(20)
        self.check()

    def test_lost_reply_to_a_claim_is_resolved(self):
        entry = self.simulation.entries[0]
        entry.store.timeout = entry.store.delay
        entry.store.lost_reply_rate = 1.0
        trace = self.simulation.call(key="k")
        self.simulation.advance(0.004)
        entry.store.lost_reply_rate = 0.0
        self.simulation.advance(3)
        self.assertEqual(trace.ends[0][0], "answer")
        self.check()

    def test_record_claimed_after_the_claim_timeout_is_released(self):
        simulation = self.simulation
        simulation.entries[0].store.delay = timedelta(seconds=1)
        late = simulation.call(key="k", deadline=30.0)
        simulation.advance(1.6)
        self.assertEqual(self.get_refusal(late).cause, Cause.RECORD_UNAVAILABLE)
        simulation.advance(20)
        self.assertEqual(simulation.hand_overs, [])
        repeat = simulation.call(entry=1, key="k")
        simulation.advance(2)
        self.assertEqual(repeat.ends[0][0], "answer")
        self.check()

    def test_lost_answer_is_unknown_and_stays_so(self):
        for side in self.simulation.side_processes:
            side.has_lossy_backend = True
        trace = self.simulation.call(key="k")
        unkeyed = self.simulation.call()
        self.simulation.advance(5)
        for side in self.simulation.side_processes:
            side.has_lossy_backend = False
        repeat = self.simulation.call(entry=1, key="k")
        self.simulation.advance(5)
        for refused in (trace, unkeyed, repeat):
            self.assertEqual(self.get_refusal(refused).ran, Ran.UNKNOWN)
        self.check()

    def test_idempotent_call_is_tried_again(self):
        side = self.find_side_processes(SERVICE)[0]
        side.has_lossy_backend = True
        traces = [self.simulation.call(idempotent=True) for _ in range(6)]
        self.simulation.advance(5)
        self.assertEqual({trace.ends[0][0] for trace in traces}, {"answer"})
        self.check()

    def test_repeat_fences_the_attempt_of_a_paused_entry_process(self):
        simulation = self.simulation
        first = simulation.call(key="k", deadline=60.0)
        simulation.advance(0.0015)
        self.assertEqual(len(simulation.store_state.history), 1)
        simulation.entries[0].clock.pause()
        simulation.advance(2)
        repeat = simulation.call(entry=1, key="k")
        simulation.advance(2)
        self.assertEqual(repeat.ends[0][0], "answer")
        simulation.entries[0].clock.resume()
        simulation.advance(20)
        self.assertEqual(len(first.ends), 1)
        self.check()

    def test_fence_is_not_requested_from_a_restarted_side_process(self):
        simulation = self.simulation
        simulation.call(key="k", deadline=60.0)
        simulation.advance(0.0015)
        simulation.entries[0].clock.pause()
        for side in self.find_side_processes(SERVICE):
            side.restart()
        simulation.advance(2)
        repeat = simulation.call(entry=1, key="k")
        simulation.advance(2)
        self.assertEqual(self.get_refusal(repeat).ran, Ran.UNKNOWN)
        simulation.entries[0].clock.resume()
        simulation.advance(20)
        self.check()

    def test_deadline_in_a_queue_is_not_run(self):
        simulation = self.simulation
        for side in self.find_side_processes(SERVICE):
            side._hand_over = lambda *_: None
        traces = [simulation.call(deadline=1.0), simulation.call(key="k", deadline=1.0)]
        simulation.advance(3)
        for trace in traces:
            refusal = self.get_refusal(trace)
            self.assertEqual(
                (refusal.cause, refusal.ran), (Cause.DEADLINE, Ran.NOT_RUN)
            )
        self.check()

    def test_tokens_sent_are_limited_by_credit(self):
        trace = self.simulation.generate(tokens=2000, gives_credit=False)
        self.simulation.advance(60)
        self.assertLessEqual(trace.tokens, 256)
        self.simulation.runs[0][0].credit(64)
        self.simulation.advance(10)
        self.assertGreater(trace.tokens, 256)
        self.assertLessEqual(trace.tokens, 320)

    def test_answer_to_a_cancelled_call_is_saved_for_its_repeat(self):
        trace = self.simulation.call(key="k")
        self.simulation.advance(0.03)
        self.simulation.runs[0][0].cancel()
        self.assertEqual(self.get_refusal(trace).ran, Ran.UNKNOWN)
        self.simulation.advance(2)
        self.assertEqual(self.simulation.entries[0].runner.outstanding, 0)
        repeat = self.simulation.call(entry=1, key="k")
        self.simulation.advance(2)
        self.assertEqual(repeat.ends[0][0], "answer")
        self.check()

    def test_cancelled_after_the_hand_over_is_unknown(self):
        for submit in (self.simulation.generate, self.simulation.call):
            seen = len(self.simulation.hand_overs)
            trace = submit()
            while len(self.simulation.hand_overs) == seen:
                self.simulation.advance(0.001)
            self.simulation.runs[-1][0].cancel()
            refusal = self.get_refusal(trace)
            self.assertEqual(
                (refusal.cause, refusal.ran), (Cause.CANCELLED, Ran.UNKNOWN)
            )
        self.simulation.advance(10)
        self.check()

    def test_cancelled_before_any_attempt_is_not_run(self):
        trace = self.simulation.call(key="k")
        self.simulation.runs[0][0].cancel()
        self.simulation.advance(10)
        self.assertEqual(self.get_refusal(trace).ran, Ran.NOT_RUN)
        self.check()

    def test_stream_waits_while_every_replica_is_busy(self):
        trace = self.simulation.generate(tokens=60)
        self.simulation.advance(0.3)
        for side in self.simulation.side_processes:
            side.is_busy = True
            side.fail_running()
        self.simulation.advance(4)
        self.assertEqual(trace.ends, [])
        for side in self.simulation.side_processes:
            side.is_busy = False
        self.simulation.advance(10)
        self.assertEqual(trace.ends, [("finish", 60)])
        self.check()

    def test_stream_is_refused_after_the_continuation_timeout(self):
        trace = self.simulation.generate(tokens=60)
        self.simulation.advance(0.3)
        for side in self.simulation.side_processes:
            side.is_busy = True
            side.fail_running()
        self.simulation.advance(15)
        self.assertEqual(self.get_refusal(trace).ran, Ran.UNKNOWN)
        self.check()

    def test_stream_survives_paused_side_process(self):
        trace = self.simulation.generate(tokens=100)
        self.simulation.advance(0.3)
        for side in self.find_side_processes(MODEL):
            if side.running:
                side.clock.pause()
        self.simulation.advance(30)
        self.assertEqual(trace.ends, [("finish", 100)])
        self.check()

    def test_attempt_that_is_open_at_the_deadline_may_run(self):
        simulation = self.simulation = Simulation(
            models=1, settings=AttemptSettings(silence_fraction=1.0)
        )
        trace = simulation.generate(deadline=0.1)
        simulation.advance(0.0001)
        simulation.network.delay = timedelta(seconds=1)
        simulation.advance(0.2)
        refusal = self.get_refusal(trace)
        self.assertEqual((refusal.cause, refusal.ran), (Cause.DEADLINE, Ran.UNKNOWN))
        simulation.advance(5)
        self.assertEqual(len(simulation.hand_overs), 1)
        self.check()

    def get_calls(self):
        log = self.simulation.network.log
        return [sent[1:] for sent in log if isinstance(sent[2], CallService)]

    def test_refusal_by_another_process_is_ignored(self):
        simulation = self.simulation
        for side in self.find_side_processes(SERVICE):
            side._handle_attempt = lambda *_: None
        simulation.call(deadline=1.0)
        ((peer, attempt_message),) = self.get_calls()
        refusal = AttemptRefused(attempt_message.attempt, Cause.OVERLOADED)
        for vm in (peer.vm, "other"):
            other = ProcessId(vm, 99)
            simulation.entries[0].peer_message(other, refusal)
            simulation.entries[0].peer_message(
                other, AttemptFenced(attempt_message.attempt, False)
            )
        self.assertEqual(len(self.get_calls()), 1)
        simulation.entries[0].peer_message(peer, refusal)
        self.assertEqual(len(self.get_calls()), 2)

    def test_stream_without_a_live_replica_is_refused_as_unknown(self):
        trace = self.simulation.generate(tokens=100)
        self.simulation.advance(0.3)
        for side in self.find_side_processes(MODEL):
            side.clock.kill()
        self.simulation.advance(60)
        self.assertEqual(self.get_refusal(trace).ran, Ran.UNKNOWN)
        self.check()
