import unittest
from datetime import timedelta
from unittest import mock

from balsamspoke_fakes.properties import examples
from balsamspoke_gateway.exceptions import NotReady, OutcomeUnknown
from balsamspoke_gateway.fleet.replicas import RECOVERY_GRACE
from balsamspoke_gateway.messages import EntryUsage
from balsamspoke_gateway.observing import ProgramFailed
from balsamspoke_gateway.peers.directory import PeerDirectory
from balsamspoke_gateway.requests import AdapterName
from balsamspoke_gateway.store.following import RecordChange, RecordPage, StorePosition
from balsamspoke_gateway.store.records import AnnouncedVersion
from balsamspoke_gateway.store.startup import MAX_STARTUP_WAIT, StartupGate
from hypothesis import given
from hypothesis import strategies as st

from .entry_world import EntryWorld
from .scripted_replicas import Answer
from .world import make_record

TICK = timedelta(seconds=0.2)


class EntryTests(unittest.TestCase):
    def setUp(self):
        self.world = EntryWorld()
        self.store = self.world.store
        self.core = self.world.core

    def start(self):
        self.core.start()
        self.world.pass_time(1)

    def add(self, *names):
        """Write entries of replicas to the store."""
        for number, name in enumerate(names):
            record = make_record(name, number=number + 1)
            self.store.write("replicas", name, record)

    def test_is_ready_with_a_configuration_and_a_replica(self):
        self.start()
        self.assertFalse(self.core.is_ready)
        sink, _ = self.world.send("safe")
        self.world.pass_time(MAX_STARTUP_WAIT.total_seconds())
        self.assertIsInstance(sink.refusal, NotReady)
        sink, _ = self.world.send("safe")
        self.assertIsInstance(sink.refusal, NotReady)
        self.world.configure(1)
        self.add("a")
        self.world.pass_time(1)
        self.assertTrue(self.core.is_ready)
        sink, _ = self.world.send("safe")
        self.assertEqual(sink.status, 200)
        self.core.context.is_stopping = True
        self.assertFalse(self.core.is_ready)

    def test_serves_a_request_that_came_before_the_first_configuration(self):
        # Load pattern: all processes are killed at once, and callers return while the
        # new ones start. 117 callers were refused in the first 10 ms, for good.
        self.core.start()
        sink, _ = self.world.send("safe")
        self.world.pass_time(0.1)
        self.assertEqual(sink.status, 0)
        self.world.configure(1)
        self.assertEqual(sink.status, 0)
        self.add("a")
        self.world.pass_time(0.1)
        self.assertEqual(sink.status, 200)

    def test_admits_nothing_before_it_knows_its_peers(self):
        # Load pattern: all processes start at once while one team floods them. Each of
        # them admitted the team's whole limit until it knew of the others.
        self.world.configure(1)
        self.add("a")
        self.store.write("entries", "10.0.1.2", "10.0.1.2")
        self.store.silent_kinds.add("entries")
        self.core.start()
        sink, _ = self.world.send("keyed", key="key-1", token_cost=30)
        self.world.pass_time(0.1)
        self.assertEqual(sink.status, 0)
        self.store.answer_lists()
        self.assertEqual(sink.status, 200)
        self.assertEqual(self.world.context.processes, 2)

    def test_refuses_teams_with_a_limit_as_long_as_it_does_not_know_its_peers(self):
        self.world.configure(1)
        self.add("a")
        self.store.silent_kinds.add("entries")
        self.core.start()
        keyed, _ = self.world.send("keyed", key="key-1", token_cost=30)
        public, _ = self.world.send("safe")
        self.world.pass_time(1)
        self.assertIsInstance(keyed.refusal, NotReady)
        self.assertEqual(public.status, 200)
        self.store.answer_lists()
        again, _ = self.world.send("keyed", key="key-1", token_cost=30)
        self.assertEqual(again.status, 200)

    def test_forgets_a_caller_that_leaves_before_the_first_configuration(self):
        self.core.start()
        _, running = self.world.send("safe")
        running.cancel()
        self.world.configure(1)
        self.add("a")
        self.world.pass_time(1)
        self.assertEqual(self.world.client.sent, [])

    # Requests that were still open at the end of a stop were cut with no answer.
    def test_answers_open_requests_truly_when_the_process_ends(self):
        waiting, _ = self.world.send("safe")
        self.world.configure(1)
        self.add("a")
        self.start()
        self.world.client.script("a", *[Answer(is_silent=True)] * 2)
        booking, _ = self.world.send("unsafe")
        self.core.context.startup = StartupGate(self.world.clock)
        early, _ = self.world.send("safe")
        self.assertEqual(self.core.open_requests, 2)
        self.core.end_requests()
        self.assertEqual(self.core.open_requests, 0)
        self.assertEqual(waiting.status, 200)
        self.assertIsInstance(booking.failure, OutcomeUnknown)
        self.assertIsInstance(early.refusal, NotReady)

    def test_keeps_serving_while_the_store_is_unavailable(self):
        self.world.configure(1)
        self.add("a")
        self.start()
        self.store.go_away()
        self.world.pass_time(60)
        self.assertTrue(self.core.is_ready)
        sink, _ = self.world.send("safe")
        self.assertEqual(sink.status, 200)

    def test_goes_on_following_after_an_unexpected_error(self):
        self.world.configure(1)
        self.start()
        replicas = self.core._store_view._replicas
        with mock.patch.object(replicas, "_report_change") as report:
            report.side_effect = RuntimeError("unexpected")
            self.add("a")
            self.world.pass_time(1)
        self.world.pass_time(1)
        self.assertEqual(self.world.list_replica_ids(), ["a"])
        bugs = [e for e in self.world.observer.events if isinstance(e, ProgramFailed)]
        self.assertIn("RuntimeError", bugs[0].traceback)

    def test_goes_on_telling_peers_and_side_processes_after_an_unexpected_error(self):
        self.world.configure(1)
        self.store.write("entries", "10.0.1.2", "10.0.1.2")
        self.store.write("replicas", "a", make_record("a", "engines"))
        self.start()
        self.world.pass_time(1)
        for recipient in ("10.0.1.2", "10.0.0.1"):
            with self.subTest(recipient=recipient):
                self.fail_one_message_to(recipient)
                self.world.peers.sent.clear()
                self.world.pass_time(2)
                self.assertIn(recipient, [ip for ip, _ in self.world.peers.sent])

    def fail_one_message_to(self, recipient):
        """Let time pass until sending one message to an IP address has failed."""

        def fail(ip, message):
            if ip == recipient:
                raise RuntimeError("unexpected")

        with mock.patch.object(self.world.peers, "send", fail):
            with self.assertRaises(RuntimeError):
                self.world.pass_time(2)

    def test_starts_during_a_store_outage_and_is_ready_after_it(self):
        self.world.configure(3)
        self.add("a")
        self.store.go_away()
        self.start()
        self.assertFalse(self.core.is_ready)
        self.store.return_()
        self.world.pass_time(1)
        self.assertTrue(self.core.is_ready)

    def test_keeps_expired_entries_for_the_grace_period_after_an_outage(self):
        self.world.configure(1)
        self.add("a", "b")
        self.start()
        self.store.go_away()
        for name in "ab":
            self.store.write("replicas", name, None)
        self.world.pass_time(5)
        self.store.return_()
        self.world.pass_time(1.5)
        self.assertEqual(self.world.list_replica_ids(), ["a", "b"])
        self.add("a")
        self.world.pass_time(RECOVERY_GRACE.total_seconds() + 0.7)
        self.assertEqual(self.world.list_replica_ids(), ["a"])

    def test_applies_a_removal_at_once_while_the_store_is_available(self):
        self.world.configure(1)
        self.add("a", "b")
        self.start()
        self.world.pass_time(2)
        self.store.write("replicas", "b", None)
        self.world.pass_time(1.5)
        self.assertEqual(self.world.list_replica_ids(), ["a"])

    # Watches that the store cut off counted as an outage, and delayed each removal.
    def test_applies_a_removal_at_once_after_its_watches_were_cut_off(self):
        self.world.configure(1)
        self.add("a", "b")
        self.start()
        self.world.pass_time(2)
        self.store.cut_polls()
        self.world.pass_time(0.2)
        self.store.write("replicas", "b", None)
        self.world.pass_time(1.3)
        self.store.cut_polls()
        self.world.pass_time(0.4)
        self.assertEqual(self.world.list_replica_ids(), ["a"])

    def test_lists_all_records_again_after_the_history_was_dropped(self):
        self.world.configure(1)
        self.add("a", "b")
        self.start()
        self.store.write("replicas", "b", None)
        self.store.write("replicas", "c", make_record("c", number=3))
        self.store.forget_history()
        self.world.pass_time(3)
        self.assertEqual(self.world.list_replica_ids(), ["a", "c"])

    def test_registers_itself_at_start_and_after_a_removal(self):
        self.start()
        ip = self.world.context.settings.ip
        self.assertIn(ip, self.store.records["entries"])
        self.store.write("entries", ip, None)
        self.store.forget_history()
        self.world.pass_time(4)
        self.assertIn(ip, self.store.records["entries"])

    def test_registers_itself_again_when_its_watch_shows_the_removal(self):
        self.start()
        ip = self.world.context.settings.ip
        self.world.pass_time(3)
        self.store.write("entries", ip, None)
        self.world.pass_time(4)
        self.assertIn(ip, self.store.records["entries"])

    def test_ignores_a_late_answer_to_a_watch_that_a_newer_list_has_replaced(self):
        peers = PeerDirectory("10.0.1.1")
        both = tuple(RecordChange(ip, ip) for ip in ("10.0.1.1", "10.0.1.2"))
        peers.apply(RecordPage(both, StorePosition(1, 8)), True)
        removal = (RecordChange("10.0.1.2", None),)
        peers.apply(RecordPage(removal, StorePosition(1, 5)), False)
        self.assertEqual(peers.ips, ["10.0.1.2"])

    def test_reads_the_list_again_at_intervals_for_a_process_that_stays_unlisted(self):
        peers = PeerDirectory("10.0.1.1")
        reads = [peers.record_unlisted("10.0.9.9", i * TICK) for i in range(50)]
        self.assertLessEqual(sum(reads), 5)

    def test_reports_admitted_tokens_to_its_peers(self):
        self.world.configure(1)
        self.add("a")
        self.store.write("entries", "10.0.1.2", "10.0.1.2")
        self.start()
        self.world.send("keyed", key="key-1", token_cost=30)
        self.world.pass_time(1)
        messages = [
            message
            for ip, message in self.world.peers.sent
            if ip == "10.0.1.2" and isinstance(message, EntryUsage)
        ]
        self.assertEqual(messages[-1].tokens, {"harbour": 30.0})
        self.assertEqual(self.world.context.processes, 2)

    def test_subtracts_tokens_admitted_by_peers_from_its_own_level(self):
        self.world.configure(1)
        self.store.write("entries", "10.0.1.2", "10.0.1.2")
        self.start()
        (before,) = self.core.list_shares()
        self.core.receive_message("10.0.1.2", EntryUsage(1, {"harbour": 0.0}))
        self.core.receive_message("10.0.1.2", EntryUsage(1, {"harbour": 90.0}))
        (after,) = self.core.list_shares()
        self.assertEqual(before.tokens_left - after.tokens_left, 90)

    def test_learns_a_listed_peer_that_it_hears_while_its_own_watch_is_silent(self):
        # Found by the soak (seed 29): the connection of a process's watch became
        # unresponsive just after the process had started. For 20 s it counted itself
        # as the only process, and three processes together admitted 742 tokens a
        # second where the limit is 300.
        self.world.configure(1)
        self.start()
        self.world.pass_time(3)
        self.store.pollers.clear()
        self.store.write("entries", "10.0.1.2", "10.0.1.2")
        for _ in range(10):
            self.core.receive_message("10.0.1.2", EntryUsage(1, {"harbour": 0.0}))
            self.world.pass_time(0.2)
        self.assertEqual(self.world.context.processes, 2)

    def test_ignores_messages_of_processes_that_are_not_listed(self):
        self.world.configure(1)
        self.start()
        (before,) = self.core.list_shares()
        self.core.receive_message("10.0.9.9", EntryUsage(1, {"harbour": 0.0}))
        self.core.receive_message("10.0.9.9", EntryUsage(1, {"harbour": 90.0}))
        self.assertEqual(self.core.list_shares(), [before])


_STORE_STEPS = st.one_of(
    st.tuples(st.just("configure"), st.integers(1, 9)),
    st.tuples(st.just("announce"), st.integers(1, 9)),
    st.tuples(st.just("away"), st.floats(0.1, 5)),
    st.tuples(st.just("forget"), st.floats(0.1, 2)),
    st.tuples(st.just("wait"), st.floats(0.1, 3)),
)


class NeverBackTests(unittest.TestCase):
    @examples(100)
    @given(st.lists(_STORE_STEPS, max_size=25))
    def test_configuration_and_versions_only_grow(self, steps):
        # The store itself may return an old state, for example from a stale copy.
        world = EntryWorld()
        world.core.start()
        newest_configuration = newest_version = 0
        name = AdapterName("base", "a1")
        for kind, value in steps:
            if kind == "configure":
                world.configure(value)
            elif kind == "announce":
                announced = AnnouncedVersion("base", "a1", value)
                world.store.write("versions", "base.a1", announced)
            elif kind == "away":
                world.store.go_away()
                world.pass_time(value)
                world.store.return_()
            elif kind == "forget":
                world.store.forget_history()
                world.pass_time(value)
            else:
                world.pass_time(value)
            configuration = world.core.configuration_version or 0
            self.assertGreaterEqual(configuration, newest_configuration)
            version = world.context.versions.find(name)
            self.assertGreaterEqual(version, newest_version)
            newest_configuration, newest_version = configuration, version


if __name__ == "__main__":
    unittest.main()
