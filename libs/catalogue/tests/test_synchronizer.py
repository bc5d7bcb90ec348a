import unittest
from datetime import timedelta

from balsamspoke_catalogue import CatalogueSettings
from balsamspoke_types.objects import Kind

from .fleet import Fleet, make_adapter


class SynchronizerTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.fleet.fill()
        self.fleet.start("a", watching=True)
        for vm in "bcd":
            self.fleet.start(vm)
        self.fleet.start("side", kinds=(Kind.MODEL, Kind.SERVICE, Kind.KEY))
        self.fleet.advance(10)

    def test_every_process_gets_the_catalogue(self):
        self.assertEqual(self.fleet.find_stale(), [])
        self.assertTrue(self.fleet.processes["side"].synchronizer.view.is_complete)

    def test_change_and_deletion_reach_all_within_six_seconds(self):
        self.fleet.put(make_adapter("a00001", version=2), Kind.ADAPTER)
        self.fleet.state.put(Kind.KEY, "k", b"", deleted=True)
        self.fleet.advance(6)
        self.assertEqual(self.fleet.find_stale(), [])
        self.assertIsNone(
            self.fleet.processes["c"].synchronizer.view.find_key("0" * 64)
        )
        self.assertFalse(
            self.fleet.processes["side"].synchronizer.view.is_key_valid("k", 2)
        )

    def test_change_reaches_processes_cut_off_from_the_object_api(self):
        for vm in "bcd":
            self.fleet.processes[vm].store.reachable = False
        self.fleet.put(make_adapter("new"), Kind.ADAPTER)
        self.fleet.advance(6)
        self.assertEqual(self.fleet.find_stale(), [])

    def test_process_started_in_an_outage_pulls_from_peers(self):
        self.fleet.state.available = False
        self.fleet.start("late")
        self.fleet.advance(3)
        self.assertEqual(self.fleet.find_stale(), [])

    def test_process_without_peers_uses_the_object_api(self):
        self.fleet.network.cut_between("d", ["a", "b", "c", "side"])
        self.fleet.advance(10)
        self.fleet.put(make_adapter("new"), Kind.ADAPTER)
        self.fleet.advance(1)
        self.assertNotIn("d", self.fleet.find_stale())

    def test_idle_processes_make_few_calls(self):
        calls = {vm: p.store.calls for vm, p in self.fleet.processes.items()}
        self.fleet.advance(60)
        calls_while_idle = {
            vm: process.store.calls - calls[vm]
            for vm, process in self.fleet.processes.items()
        }
        self.assertEqual(calls_while_idle, {"a": 3, "b": 0, "c": 0, "d": 0, "side": 0})

    def test_lost_event_is_recovered_although_the_next_watch_fails(self):
        store = self.fleet.processes["a"].store
        store.lost_event_rate = 1.0
        self.fleet.put(make_adapter("lost"), Kind.ADAPTER)
        store.lost_event_rate = 0.0
        self.fleet.put(make_adapter("seen"), Kind.ADAPTER)
        self.fleet.advance(1)
        store.reachable = False
        store.end_watches()
        self.fleet.advance(10)
        store.reachable = True
        # A failed listing is retried after a watch period.
        self.fleet.advance(20 + 7)
        self.assertEqual(self.fleet.find_stale(), [])

    def test_newer_revision_in_a_heartbeat_starts_a_pull(self):
        fleet = Fleet(settings=CatalogueSettings(pull_interval=timedelta(minutes=9)))
        fleet.start("a", watching=True)
        fleet.start("b")
        fleet.advance(10)
        fleet.put(make_adapter("new"), Kind.ADAPTER)
        fleet.advance(1.1)
        self.assertEqual(fleet.find_stale(), [])

    def test_lost_event_is_recovered_by_restarting_the_watch(self):
        self.fleet.processes["a"].store.lost_event_rate = 1.0
        self.fleet.put(make_adapter("lost"), Kind.ADAPTER)
        self.fleet.processes["a"].store.lost_event_rate = 0.0
        self.fleet.put(make_adapter("seen"), Kind.ADAPTER)
        self.fleet.advance(1)
        self.assertNotEqual(self.fleet.find_stale(), [])
        self.fleet.advance(55)
        self.assertEqual(self.fleet.find_stale(), [])
