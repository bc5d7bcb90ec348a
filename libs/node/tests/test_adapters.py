import unittest
from datetime import timedelta

from balsamspoke_fakes.properties import examples
from balsamspoke_types.identifiers import AdapterRef
from balsamspoke_types.objects import Adapter, Kind
from hypothesis import given
from hypothesis import strategies as st

from .checkers import check_invariants, find_evictions_in_use, find_unanswered
from .fleet import MODEL, Fleet, get_expected_text
from .late_engine import delay_reports
from .schedules import BACKEND_FAILURES, ScheduleDriver, draw_schedules

SEEDS = st.integers(0, 2**16)
CATALOGUE_BOUND_SECONDS = 5
ADAPTER = "adapter-0"


class RightAdapterTest(unittest.TestCase):
    """Each request runs on the adapter and version that it names."""

    def setUp(self):
        self.fleet = Fleet(engines=2)
        self.fleet.settle()

    def request_from_all_entries(self, name=ADAPTER, key="hotel-key", tokens=5):
        """Send a request through each entry; return the SentRequests."""
        sent = len(self.fleet.sent)
        for entry in self.fleet.entries():
            self.fleet.complete(entry, name, key, tokens)
        return self.fleet.sent[sent:]

    def assert_version(self, requests, version):
        for sent in requests:
            name = sent.adapter.partition(":")[0]
            expected = get_expected_text(name, version, sent.tokens, sent.prompt)
            self.assertEqual(sent.responder.text, expected)
            self.assertTrue(sent.responder.is_whole)

    def assert_unknown_model(self, requests):
        for sent in requests:
            answer = sent.responder
            self.assertEqual(
                (answer.code, answer.outcome), ("unknown_model", "not-run")
            )

    def put(self, default=1, versions=(1, 2), team="hotel"):
        adapter = Adapter(ADAPTER, team, MODEL, default, versions)
        self.fleet.put(Kind.ADAPTER, ADAPTER, adapter)

    def delete(self):
        self.fleet.store.put(Kind.ADAPTER, ADAPTER, b"", deleted=True)

    def test_running_requests_keep_their_version_when_the_default_changes(self):
        running = self.request_from_all_entries(tokens=100)
        self.fleet.advance(1)
        self.put(default=2)
        self.fleet.advance(CATALOGUE_BOUND_SECONDS)
        later = self.request_from_all_entries()
        named = self.request_from_all_entries(f"{ADAPTER}:1")
        self.fleet.advance(5)
        self.assert_version(running, 1)
        self.assert_version(later, 2)
        self.assert_version(named, 1)

    def test_a_stream_keeps_its_version_when_continued_elsewhere(self):
        running = self.request_from_all_entries(tokens=150)
        self.fleet.advance(1)
        self.put(default=2)
        self.fleet.advance(2)
        for engine in self.fleet.engines:
            engine.restart()
        self.fleet.advance(30)
        self.assert_version(running, 1)

    def test_a_deleted_and_recreated_adapter_has_only_its_new_version(self):
        self.request_from_all_entries()
        self.fleet.advance(2)
        self.delete()
        self.fleet.advance(CATALOGUE_BOUND_SECONDS)
        self.assert_unknown_model(self.request_from_all_entries())
        self.put(default=2, versions=(2,))
        self.fleet.advance(CATALOGUE_BOUND_SECONDS)
        again, old = (
            self.request_from_all_entries(),
            self.request_from_all_entries(f"{ADAPTER}:1"),
        )
        self.fleet.advance(5)
        self.assert_version(again, 2)
        self.assert_unknown_model(old)

    def test_a_moved_adapter_is_unknown_to_its_previous_team(self):
        running = self.request_from_all_entries(tokens=150)
        self.fleet.advance(1)
        self.put(team="marina")
        self.fleet.advance(CATALOGUE_BOUND_SECONDS)
        self.assert_unknown_model(self.request_from_all_entries())
        moved = self.request_from_all_entries(key="marina-key")
        self.fleet.advance(10)
        self.assert_version(moved, 1)
        self.assert_version(running, 1)

    @examples(3)
    @given(draw_schedules(BACKEND_FAILURES, size=30), SEEDS)
    def test_under_late_reports_and_failures_of_engines(self, schedule, seed):
        fleet = Fleet(seed, engines=2)
        delay_reports(fleet, 3)
        fleet.settle()
        driver = ScheduleDriver(fleet)
        driver.run(schedule)
        driver.heal(60)
        self.assertEqual(check_invariants(fleet) + find_unanswered(fleet), [])


class AdapterInUseTest(unittest.TestCase):
    """An adapter in use is never evicted."""

    def run_with_slot_shortage(self, fleet, inject_fault=lambda fleet, number: None):
        """Request more adapters than there are slots, with some long answers."""
        for number in range(48):
            name = f"adapter-{number * 5 % 12}"
            key = f"{fleet.find_owner(name)}-key"
            tokens = (60, 5, 20)[number % 3]
            fleet.complete(fleet.entries()[number % 3], name, key, tokens)
            fleet.advance(0.25)
            inject_fault(fleet, number)
        fleet.advance(40)
        self.assertEqual(find_evictions_in_use(fleet), [])
        self.assertEqual(check_invariants(fleet), [])
        # Adapters were evicted, just never in use.
        self.assertGreater(sum(e.loads for e in fleet.engines), 16)

    def make_fleet(self, seed=0, late_report_seconds=0):
        fleet = Fleet(seed, engines=2)
        if late_report_seconds:
            delay_reports(fleet, late_report_seconds)
        fleet.settle()
        return fleet

    def test_while_loads_fail_half_way(self):
        def inject_fault(fleet, number):
            for engine in fleet.engines:
                engine.failing = {AdapterRef(f"adapter-{number % 12}", 1)}

        self.run_with_slot_shortage(self.make_fleet(), inject_fault)

    def test_while_streams_are_continued_elsewhere(self):
        def inject_fault(fleet, number):
            if number % 12 == 6:
                fleet.engines[number // 12 % 2].restart()
            if number == 20:
                fleet.restart(fleet.sides()[0])

        self.run_with_slot_shortage(self.make_fleet(), inject_fault)

    @examples(2)
    @given(SEEDS, st.sampled_from([1, 3, 10]))
    def test_while_reports_come_late(self, seed, late_report_seconds):
        self.run_with_slot_shortage(self.make_fleet(seed, late_report_seconds))

    @examples(2)
    @given(SEEDS)
    def test_while_loads_are_slow(self, seed):
        fleet = self.make_fleet(seed, 3)
        for engine in fleet.engines:
            engine.load_time = timedelta(seconds=2)
        self.run_with_slot_shortage(fleet)
