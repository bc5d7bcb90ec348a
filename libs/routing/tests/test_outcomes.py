import unittest
from datetime import timedelta

from balsamspoke_types.outcomes import Cause, Ran

from tests.checkers import check_all
from tests.world import MODEL, SERVICE, World


class OutcomesTest(unittest.TestCase):
    def setUp(self):
        self.world = World()

    def check(self):
        check_all(self.world.traces, self.world.hand_overs)

    def sides(self, service):
        return [side for side in self.world.sides if side.service == service]

    def get_refusal(self, trace):
        ((kind, refusal),) = trace.ends
        self.assertEqual(kind, "refuse")
        return refusal

    def test_generation_is_answered(self):
        trace = self.world.generate()
        self.world.advance(5)
        self.assertEqual(trace.ends, [("finish", 20)])
        self.check()

    def test_generation_continues_where_the_engine_failed(self):
        trace = self.world.generate(tokens=60)
        for _ in range(3):
            self.world.advance(0.2)
            for side in self.world.sides:
                side.fail_running()
        self.world.advance(20)
        self.assertEqual(trace.ends, [("finish", 60)])
        self.check()

    def test_busy_replicas_refuse_as_not_run_at_once(self):
        for side in self.world.sides:
            side.busy = True
        traces = [self.world.generate(), self.world.call(), self.world.call(key="k")]
        self.world.advance(0.1)
        for trace in traces:
            refusal = self.get_refusal(trace)
            self.assertEqual(refusal.ran, Ran.NOT_RUN)
            self.assertEqual(refusal.cause, Cause.OVERLOADED)
            self.assertIsNotNone(refusal.retry_after)
        self.check()

    def test_no_replica(self):
        for side in self.world.sides:
            side.clock.kill()
        self.world.advance(1)
        traces = [self.world.generate(), self.world.call(), self.world.call(key="k")]
        causes = {self.get_refusal(trace).cause for trace in traces}
        self.assertEqual(causes, {Cause.NO_REPLICA})

    def test_withdrawn_key_is_refused_as_not_run(self):
        self.world.key_valid = False
        traces = [self.world.generate(), self.world.call(), self.world.call(key="k")]
        for trace in traces:
            refusal = self.get_refusal(trace)
            self.assertEqual(
                (refusal.cause, refusal.ran), (Cause.KEY_REJECTED, Ran.NOT_RUN)
            )
        self.check()

    def test_key_withdrawn_while_the_record_is_written(self):
        trace = self.world.call(key="k")
        self.world.key_valid = False
        self.world.advance(5)
        self.assertEqual(self.get_refusal(trace).cause, Cause.KEY_REJECTED)
        self.world.key_valid = True
        repeat = self.world.call(key="k")
        self.world.advance(5)
        self.assertEqual(repeat.ends[0][0], "answer")
        self.check()

    def test_answer_under_way_survives_withdrawal(self):
        trace = self.world.generate()
        self.world.advance(0.2)
        self.world.key_valid = False
        self.world.advance(5)
        self.assertEqual(trace.ends, [("finish", 20)])

    def test_repeat_through_another_entry_gets_the_saved_answer(self):
        first = self.world.call(key="k")
        self.world.advance(2)
        repeat = self.world.call(entry=1, key="k")
        self.world.advance(2)
        self.assertEqual(repeat.ends, first.ends)
        self.assertEqual(len(self.world.hand_overs), 1)
        self.check()

    def test_other_request_with_the_same_key(self):
        self.world.call(key="k")
        self.world.advance(2)
        other = self.world.call(entry=1, key="k", body=b"other")
        self.world.advance(2)
        refusal = self.get_refusal(other)
        self.assertEqual((refusal.cause, refusal.ran), (Cause.KEY_REUSED, Ran.NOT_RUN))

    def test_repeat_while_in_progress(self):
        self.world.call(key="k")
        self.world.advance(0.01)
        repeat = self.world.call(entry=1, key="k")
        self.world.advance(2)
        refusal = self.get_refusal(repeat)
        self.assertEqual((refusal.cause, refusal.ran), (Cause.IN_PROGRESS, Ran.UNKNOWN))
        self.assertIsNotNone(refusal.retry_after)
        self.check()

    def test_outage_refuses_as_not_run(self):
        self.world.store_state.available = False
        trace = self.world.call(key="k")
        self.world.advance(3)
        refusal = self.get_refusal(trace)
        self.assertEqual(
            (refusal.cause, refusal.ran), (Cause.RECORD_UNAVAILABLE, Ran.NOT_RUN)
        )
        self.world.advance(20)
        self.check()

    def test_lost_reply_of_the_record_is_settled(self):
        entry = self.world.entries[0]
        entry.store.timeout = entry.store.delay
        entry.store.lost_reply_rate = 1.0
        trace = self.world.call(key="k")
        self.world.advance(0.004)
        entry.store.lost_reply_rate = 0.0
        self.world.advance(3)
        self.assertEqual(trace.ends[0][0], "answer")
        self.check()

    def test_record_that_comes_too_late_is_released(self):
        world = self.world
        world.entries[0].store.delay = timedelta(seconds=1)
        late = world.call(key="k", deadline=30.0)
        world.advance(1.6)
        self.assertEqual(self.get_refusal(late).cause, Cause.RECORD_UNAVAILABLE)
        world.advance(20)
        self.assertEqual(world.hand_overs, [])
        repeat = world.call(entry=1, key="k")
        world.advance(2)
        self.assertEqual(repeat.ends[0][0], "answer")
        self.check()

    def test_lost_answer_is_unknown_and_stays_so(self):
        for side in self.world.sides:
            side.loses_answers = True
        trace = self.world.call(key="k")
        unkeyed = self.world.call()
        self.world.advance(5)
        for side in self.world.sides:
            side.loses_answers = False
        repeat = self.world.call(entry=1, key="k")
        self.world.advance(5)
        for refused in (trace, unkeyed, repeat):
            self.assertEqual(self.get_refusal(refused).ran, Ran.UNKNOWN)
        self.check()

    def test_idempotent_call_is_tried_again(self):
        side = self.sides(SERVICE)[0]
        side.loses_answers = True
        traces = [self.world.call(idempotent=True) for _ in range(6)]
        self.world.advance(5)
        self.assertEqual({trace.ends[0][0] for trace in traces}, {"answer"})
        self.check()

    def test_paused_entry_is_fenced_by_the_repeat(self):
        world = self.world
        first = world.call(key="k", deadline=60.0)
        world.advance(0.0015)
        self.assertEqual(len(world.store_state.history), 1)
        world.entries[0].clock.pause()
        world.advance(2)
        repeat = world.call(entry=1, key="k")
        world.advance(2)
        self.assertEqual(repeat.ends[0][0], "answer")
        world.entries[0].clock.resume()
        world.advance(20)
        self.assertEqual(len(first.ends), 1)
        self.check()

    def test_fence_is_asked_of_the_same_run_only(self):
        world = self.world
        world.call(key="k", deadline=60.0)
        world.advance(0.0015)
        world.entries[0].clock.pause()
        for side in self.sides(SERVICE):
            side.restart()
        world.advance(2)
        repeat = world.call(entry=1, key="k")
        world.advance(2)
        self.assertEqual(self.get_refusal(repeat).ran, Ran.UNKNOWN)
        world.entries[0].clock.resume()
        world.advance(20)
        self.check()

    def test_deadline_in_a_queue_is_not_run(self):
        world = self.world
        for side in self.sides(SERVICE):
            side._hand_over = lambda *_: None
        traces = [world.call(deadline=1.0), world.call(key="k", deadline=1.0)]
        world.advance(3)
        for trace in traces:
            refusal = self.get_refusal(trace)
            self.assertEqual(
                (refusal.cause, refusal.ran), (Cause.DEADLINE, Ran.NOT_RUN)
            )
        self.check()

    def test_slow_caller_holds_the_engine_back(self):
        trace = self.world.generate(tokens=2000, credits=False)
        self.world.advance(60)
        self.assertLessEqual(trace.tokens, 256)
        self.world.runs[0][0].credit(64)
        self.world.advance(10)
        self.assertGreater(trace.tokens, 256)
        self.assertLessEqual(trace.tokens, 320)

    def test_cancelled_call_is_kept_for_its_repeat(self):
        trace = self.world.call(key="k")
        self.world.advance(0.03)
        self.world.runs[0][0].cancel()
        self.assertEqual(self.get_refusal(trace).ran, Ran.UNKNOWN)
        self.world.advance(2)
        self.assertEqual(self.world.entries[0].runner.outstanding, 0)
        repeat = self.world.call(entry=1, key="k")
        self.world.advance(2)
        self.assertEqual(repeat.ends[0][0], "answer")
        self.check()

    def test_stream_survives_paused_side_process(self):
        trace = self.world.generate(tokens=100)
        self.world.advance(0.3)
        for side in self.sides(MODEL):
            if side.running:
                side.clock.pause()
        self.world.advance(30)
        self.assertEqual(trace.ends, [("finish", 100)])
        self.check()

    def test_nothing_can_continue(self):
        trace = self.world.generate(tokens=100)
        self.world.advance(0.3)
        for side in self.sides(MODEL):
            side.clock.kill()
        self.world.advance(60)
        self.assertEqual(self.get_refusal(trace).ran, Ran.UNKNOWN)
        self.check()
