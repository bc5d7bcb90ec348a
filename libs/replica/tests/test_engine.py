import unittest
from datetime import timedelta

from balsamspoke_fakes import VirtualClock
from balsamspoke_replica import (
    EngineRestarted,
    HoldershipLost,
    LoadFailed,
    SlotHeld,
)
from balsamspoke_types.identifiers import ProcessId
from balsamspoke_types.messages import (
    AttemptFailed,
    AttemptFenced,
    AttemptRefused,
    CancelAttempt,
    CreditTokens,
    FenceAttempt,
    GenerationFinished,
    ReplicaReport,
    TokensProduced,
)
from balsamspoke_types.objects import Model, PriorityClass
from balsamspoke_types.outcomes import Cause

from .harness import ENTRY, ReplicaHarness, adapter, milliseconds

OTHER = ProcessId("entry-2", 2)


class TestRunning(unittest.TestCase):
    def test_whole_answer_in_order(self):
        harness = ReplicaHarness().start_engine()
        attempt = harness.send_run(adapter(1), tokens=5)
        harness.advance(1000)
        self.assertEqual(
            harness.find_tokens(attempt),
            [(number, f"adapter-1:1/2/{number} ") for number in range(5)],
        )
        kinds = [type(message) for _, message in harness.sent]
        end = kinds.index(GenerationFinished)
        self.assertEqual(harness.find_replies(attempt)[0].offset, 5)
        self.assertNotIn(TokensProduced, kinds[end:])

    def test_tokens_of_streams_share_a_message(self):
        harness = ReplicaHarness().start_engine()
        for _ in range(3):
            harness.send_run(tokens=2)
        harness.advance(60)
        produced = [m for _, m in harness.sent if isinstance(m, TokensProduced)]
        self.assertEqual([len(message.chunks) for message in produced], [1, 2])

    def test_credit_pauses_and_resumes_the_generation(self):
        harness = ReplicaHarness().start_engine()
        attempt = harness.send_run(tokens=6, credit=2)
        harness.advance(1000)
        self.assertEqual(len(harness.find_tokens(attempt)), 2)
        self.assertEqual(harness.engine.running[str(attempt)].offset, 2)
        harness.deliver(CreditTokens(attempt, 100))
        harness.advance(1000)
        self.assertEqual(len(harness.find_tokens(attempt)), 6)

    def test_versions_of_an_adapter_are_kept_apart(self):
        harness = ReplicaHarness().start_engine()
        attempts = {harness.send_run(adapter(1, number)): number for number in (1, 2)}
        harness.advance(2000)
        self.assertEqual(len(harness.engine.loaded), 2)
        for attempt, number in attempts.items():
            text = f"adapter-1:{number}/2/0 "
            self.assertEqual(harness.find_tokens(attempt)[0], (0, text))

    def test_resumed_answer_goes_on_at_its_offset(self):
        harness = ReplicaHarness().start_engine()
        attempt = harness.send_run(tokens=6, resume_offset=4, resume_text="x")
        harness.advance(1000)
        self.assertEqual([offset for offset, _ in harness.find_tokens(attempt)], [4, 5])


class TestAtMostOnce(unittest.TestCase):
    def test_duplicate_message_runs_once(self):
        harness = ReplicaHarness().start_engine()
        message = harness.build_run(adapter(1))
        for _ in range(3):
            harness.deliver(message)
            harness.advance(400)
        self.assertEqual(len(harness.engine.started), 1)
        self.assertEqual(len(harness.find_replies(message.attempt)), 1)

    def test_attempt_fenced_before_it_arrives_never_runs(self):
        harness = ReplicaHarness().start_engine()
        message = harness.build_run(adapter(1))
        harness.deliver(FenceAttempt(message.attempt))
        harness.deliver(message)
        harness.advance(1000)
        self.assertEqual(harness.engine.started, [])
        fenced, refused = harness.find_replies(message.attempt)
        self.assertEqual(fenced, AttemptFenced(message.attempt, False))
        self.assertIsInstance(refused, AttemptRefused)

    def test_fence_stops_a_queued_but_not_a_running_attempt(self):
        harness = ReplicaHarness().start_engine()
        attempt = harness.send_run(adapter(1), tokens=50)
        harness.deliver(FenceAttempt(attempt))
        harness.advance(1000)
        self.assertEqual(harness.engine.started, [])
        running = harness.send_run(adapter(1), tokens=50)
        harness.advance(300)
        harness.deliver(FenceAttempt(running))
        self.assertEqual(harness.find_replies(running), [AttemptFenced(running, True)])

    def test_attempt_cancelled_before_it_arrives_never_runs(self):
        harness = ReplicaHarness().start_engine()
        message = harness.build_run()
        harness.deliver(CancelAttempt(message.attempt))
        harness.deliver(message)
        harness.advance(1000)
        self.assertEqual(harness.engine.started, [])

    def test_forgotten_attempt_neither_runs_nor_is_reported_as_not_run(self):
        harness = ReplicaHarness(attempts_remembered=4).start_engine()
        message = harness.build_run()
        harness.deliver(message)
        for _ in range(6):
            harness.send_run()
            harness.advance(300)
        started = len(harness.engine.started)
        harness.deliver(message)
        harness.deliver(FenceAttempt(message.attempt))
        harness.advance(300)
        self.assertEqual(len(harness.engine.started), started)
        failed, fenced = harness.find_replies(message.attempt)[1:]
        self.assertIsInstance(failed, AttemptFailed)
        self.assertTrue(fenced.handed_over)


class TestRefusals(unittest.TestCase):
    def assert_refused(self, harness, attempt, cause):
        (refused,) = harness.find_replies(attempt)
        self.assertIsInstance(refused, AttemptRefused)
        self.assertEqual(refused.cause, cause)
        self.assertNotIn(str(attempt), harness.list_started())
        return refused

    def test_deadline_in_the_queue(self):
        harness = ReplicaHarness().start_engine()
        attempt = harness.send_run(adapter(1), deadline=milliseconds(100))
        harness.advance(1000)
        self.assert_refused(harness, attempt, Cause.DEADLINE)

    def test_deadline_passed_while_paused(self):
        harness = ReplicaHarness(batch_size=1).start_engine()
        harness.send_run(tokens=3)
        attempt = harness.send_run(deadline=milliseconds(200))
        harness.clock.pause()
        harness.advance(1000)
        harness.clock.resume()
        self.assert_refused(harness, attempt, Cause.DEADLINE)

    def test_full_queue(self):
        harness = ReplicaHarness(batch_size=1, queued_requests=2).start_engine()
        attempts = [harness.send_run(tokens=50) for _ in range(4)]
        refused = self.assert_refused(harness, attempts[3], Cause.OVERLOADED)
        self.assertGreater(refused.retry_after, timedelta(0))

    def test_full_queue_in_tokens(self):
        harness = ReplicaHarness(batch_size=1, queued_tokens=100).start_engine()
        harness.send_run(tokens=50)
        harness.send_run(tokens=90)
        attempt = harness.send_run(tokens=20)
        self.assert_refused(harness, attempt, Cause.OVERLOADED)

    def test_key_withdrawn_while_queued(self):
        harness = ReplicaHarness().start_engine()
        attempt = harness.send_run(adapter(1), key_record="key-1", key_version=3)
        harness.withdrawn_keys.add("key-1")
        harness.advance(1000)
        self.assert_refused(harness, attempt, Cause.KEY_REJECTED)

    def test_unconnected_peer(self):
        harness = ReplicaHarness().start_engine()
        attempt = harness.send_run(peer=OTHER)
        harness.advance(1000)
        self.assert_refused(harness, attempt, Cause.CANCELLED)

    def test_requests_of_a_disconnected_entry_process_are_cancelled(self):
        harness = ReplicaHarness(batch_size=1).start_engine()
        running = harness.send_run(tokens=500)
        queued = harness.send_run()
        harness.advance(50)
        harness.replica.peer_disconnected(ENTRY)
        self.assertEqual(harness.replica.describe()["queued"], 0)
        harness.advance(1500)
        self.assertIn(str(running), harness.engine.running)
        harness.advance(1000)
        self.assertEqual(harness.engine.running, {})
        self.assertNotIn(str(queued), harness.list_started())

    def test_entry_process_reconnected_in_time_gets_the_whole_answer(self):
        harness = ReplicaHarness().start_engine()
        attempt = harness.send_run(tokens=60)
        harness.advance(50)
        harness.replica.peer_disconnected(ENTRY)
        harness.advance(1500)
        harness.replica.peer_connected(ENTRY)
        harness.advance(5000)
        self.assertIsInstance(harness.find_replies(attempt)[0], GenerationFinished)
        offsets = [offset for offset, _ in harness.find_tokens(attempt)]
        self.assertEqual(offsets, list(range(60)))


class TestDrain(unittest.TestCase):
    def test_queued_are_refused_and_running_finish(self):
        harness = ReplicaHarness(batch_size=1).start_engine()
        running = harness.send_run(tokens=20)
        queued = harness.send_run()
        done = []
        harness.replica.drain().addCallback(done.append)
        self.assertEqual(harness.find_replies(queued)[0].cause, Cause.STOPPING)
        late = harness.send_run()
        self.assertEqual(harness.find_replies(late)[0].cause, Cause.STOPPING)
        self.assertEqual(done, [])
        self.assertFalse(harness.replica.report().accepting)
        harness.advance(2000)
        self.assertEqual(done, [None])
        self.assertIsInstance(harness.find_replies(running)[0], GenerationFinished)

    def test_drain_time_bounds_the_drain(self):
        harness = ReplicaHarness(drain_time=timedelta(seconds=1)).start_engine()
        running = harness.send_run(tokens=2000)
        done = []
        harness.replica.drain().addCallback(done.append)
        harness.advance(1500)
        self.assertEqual(done, [None])
        self.assertIsInstance(harness.find_replies(running)[0], AttemptFailed)


class TestEngineFailures(unittest.TestCase):
    def test_restart_is_detected_by_the_boot_id(self):
        harness = ReplicaHarness().start_engine()
        running = harness.send_run(adapter(1), tokens=500)
        harness.advance(500)
        harness.engine.boot += 1
        harness.engine.loaded = []
        harness.engine.running.clear()
        harness.advance(1100)
        self.assertEqual(harness.find_replies(running)[0].cause, Cause.BACKEND_LOST)
        self.assertTrue(any(isinstance(e, EngineRestarted) for e in harness.events))
        again = harness.send_run(adapter(1))
        harness.advance(1000)
        self.assertIsInstance(harness.find_replies(again)[0], GenerationFinished)

    def test_late_report_of_an_earlier_boot_is_dropped(self):
        harness = ReplicaHarness().start_engine()
        harness.engine.restart()
        harness.advance(1100)
        running = harness.send_run(adapter(1), tokens=100)
        harness.advance(300)
        harness.engine.boot -= 1
        harness.advance(1000)
        harness.engine.boot += 1
        harness.advance(5000)
        self.assertIsInstance(harness.find_replies(running)[0], GenerationFinished)

    def test_adapter_missing_at_the_engine_is_loaded_again(self):
        harness = ReplicaHarness().start_engine()
        harness.send_run(adapter(1))
        harness.advance(1000)
        harness.engine.loaded.clear()
        attempt = harness.send_run(adapter(1))
        harness.advance(1000)
        self.assertIsInstance(harness.find_replies(attempt)[0], GenerationFinished)
        self.assertEqual(harness.engine.loads, 2)

    def test_failing_load_is_refused_and_blocks_no_other_request(self):
        harness = ReplicaHarness(slots=1).start_engine()
        harness.engine.failing.add(adapter(1))
        bad = harness.send_run(adapter(1))
        good = harness.send_run(adapter(2))
        harness.advance(5000)
        self.assertEqual(harness.find_replies(bad)[0].cause, Cause.LOAD_FAILED)
        self.assertIsInstance(harness.find_replies(good)[0], GenerationFinished)
        harness.engine.failing.clear()
        harness.advance(30_000)
        attempt = harness.send_run(adapter(1))
        harness.advance(2000)
        self.assertIsInstance(harness.find_replies(attempt)[0], GenerationFinished)

    def test_load_backoff_doubles_with_each_failure(self):
        harness = ReplicaHarness(load_tries=4).start_engine()
        harness.engine.failing.add(adapter(1))
        harness.send_run(adapter(1))
        harness.advance(5000)
        waits = [e.wait for e in harness.events if isinstance(e, LoadFailed)]
        self.assertEqual(len(waits), 4)
        for number, wait in enumerate(waits):
            longest = milliseconds(250) * 2**number
            self.assertTrue(longest / 2 <= wait <= longest)

    def test_queued_request_does_not_shorten_the_load_backoff(self):
        harness = ReplicaHarness(load_tries=100).start_engine()
        harness.engine.failing.add(adapter(1))
        harness.send_run(adapter(1))
        harness.advance(3000)
        failed = [e for e in harness.events if isinstance(e, LoadFailed)]
        self.assertLess(len(failed), 6)

    def test_engine_down_refuses_queued_requests(self):
        harness = ReplicaHarness().start_engine()
        harness.engine.up = False
        attempt = harness.send_run(adapter(1))
        harness.advance(1200)
        self.assertEqual(harness.find_replies(attempt)[0].cause, Cause.BACKEND_LOST)
        self.assertFalse(harness.replica.report().accepting)
        harness.engine.up = True
        harness.advance(500)
        self.assertTrue(harness.replica.report().accepting)

    def test_request_runs_although_untracked_adapters_fill_the_slots(self):
        harness = ReplicaHarness(slots=2).start_engine()
        harness.engine.loaded = [adapter(7), adapter(8)]
        attempt = harness.send_run(adapter(1))
        harness.advance(5000)
        self.assertIsInstance(harness.find_replies(attempt)[0], GenerationFinished)


class TestFencing(unittest.TestCase):
    def test_lost_ownership_stops_commands(self):
        harness = ReplicaHarness(batch_size=1).start_engine()
        harness.send_run(tokens=10)
        queued = harness.send_run()
        harness.is_holder = False
        harness.advance(2000)
        self.assertEqual(len(harness.engine.started), 1)
        self.assertIsInstance(harness.find_replies(queued)[0], AttemptRefused)
        self.assertFalse(harness.replica.report().accepting)

    def test_generation_refused_for_its_fencing_token_ends_ownership(self):
        harness = ReplicaHarness().start_engine()
        harness.engine.obeys_fencing = True
        harness.engine.fencing = 2
        attempt = harness.send_run()
        harness.advance(100)
        self.assertIsInstance(harness.find_replies(attempt)[0], AttemptRefused)
        self.assertTrue(any(isinstance(e, HoldershipLost) for e in harness.events))

    def test_load_refused_for_its_fencing_token_ends_ownership(self):
        harness = ReplicaHarness().start_engine()
        harness.engine.obeys_fencing = True
        harness.engine.fencing = 2
        attempt = harness.send_run(adapter(1))
        harness.advance(100)
        self.assertIsInstance(harness.find_replies(attempt)[0], AttemptRefused)
        self.assertTrue(any(isinstance(e, HoldershipLost) for e in harness.events))

    def test_adapters_of_an_earlier_process_are_not_evicted_in_use(self):
        harness = ReplicaHarness(slots=1).start_engine()
        harness.send_run(adapter(1), tokens=100)
        harness.advance(500)
        harness.clock.kill()
        harness.clock = VirtualClock(harness.time)
        harness.engine.clock = harness.clock
        harness.start_engine(fencing=2)
        attempt = harness.send_run(adapter(2))
        harness.advance(12_000)
        self.assertEqual(harness.engine.evicted_in_use, [])
        self.assertIsInstance(harness.find_replies(attempt)[0], GenerationFinished)


class TestSlots(unittest.TestCase):
    def test_passed_over_request_gets_a_slot(self):
        harness = ReplicaHarness(slots=1, batch_size=4).start_engine()
        for _ in range(100):
            harness.send_run(adapter(1), team="busy", tokens=10)
        attempt = harness.send_run(adapter(2))
        harness.advance(2500)
        self.assertIsInstance(harness.find_replies(attempt)[0], GenerationFinished)
        self.assertTrue(any(isinstance(e, SlotHeld) for e in harness.events))
        self.assertEqual(harness.engine.evicted_in_use, [])

    def test_load_starts_while_the_batch_is_full(self):
        harness = ReplicaHarness(batch_size=1).start_engine()
        harness.send_run(adapter(1), tokens=100)
        harness.advance(300)
        harness.send_run(adapter(2))
        harness.advance(300)
        self.assertIn(adapter(2), harness.engine.loaded)

    def test_urgent_class_goes_first(self):
        harness = ReplicaHarness(batch_size=1).start_engine()
        harness.send_run(tokens=10)
        slow = harness.send_run(priority=PriorityClass.BATCH)
        urgent = harness.send_run(priority=PriorityClass.INTERACTIVE)
        harness.advance(5000)
        started = harness.list_started()
        self.assertLess(started.index(str(urgent)), started.index(str(slow)))

    def test_teams_share_a_busy_replica(self):
        harness = ReplicaHarness(batch_size=1).start_engine()
        for _ in range(20):
            harness.send_run(team="busy", tokens=10)
        other = harness.send_run(team="other", tokens=10)
        harness.advance(1500)
        self.assertIsInstance(harness.find_replies(other)[0], GenerationFinished)

    def test_larger_batch_size_starts_queued_requests(self):
        harness = ReplicaHarness(batch_size=1).start_engine()
        for _ in range(4):
            harness.send_run(tokens=100)
        harness.replica.set_model(Model("base", adapter_slots=2, batch_size=3))
        self.assertEqual(len(harness.engine.started), 3)


class TestReports(unittest.TestCase):
    def test_change_of_accepting_is_reported_immediately(self):
        harness = ReplicaHarness().start_engine()
        harness.sent.clear()
        harness.replica.drain()
        reports = [m for _, m in harness.sent if isinstance(m, ReplicaReport)]
        self.assertEqual([report.accepting for report in reports], [False])

    def test_reports_to_many_peers_stay_within_the_budget(self):
        harness = ReplicaHarness(report_bytes=500).start_engine()
        for number in range(300):
            harness.replica.peer_connected(ProcessId(f"entry-{number}", 7))
        harness.sent.clear()
        harness.advance(60_000)
        reports = [m for _, m in harness.sent if isinstance(m, ReplicaReport)]
        self.assertLess(len(reports) * 34, 500 * 62)
        self.assertGreater(len({peer for peer, _ in harness.sent}), 295)
