import unittest
from datetime import timedelta

from balsamspoke_catalogue import CatalogueSettings
from balsamspoke_types.objects import Kind

from .fleet import Fleet, make_adapter


class KeeperTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.fleet.fill()
        self.fleet.start("a", watching=True)
        for vm in "bcd":
            self.fleet.start(vm)
        self.fleet.start("side", kinds=(Kind.MODEL, Kind.SERVICE, Kind.KEY))
        self.fleet.advance(10)

    def test_all_have_the_catalogue(self):
        self.assertEqual(self.fleet.find_stale(), [])
        self.assertTrue(self.fleet.processes["side"].keeper.view.is_complete)

    def test_change_and_deletion_spread_within_six_seconds(self):
        self.fleet.put(make_adapter("a00001", version=2), Kind.ADAPTER)
        self.fleet.state.put(Kind.KEY, "k", b"", deleted=True)
        self.fleet.advance(6)
        self.assertEqual(self.fleet.find_stale(), [])
        self.assertIsNone(self.fleet.processes["c"].keeper.view.find_key("0" * 64))
        self.assertFalse(self.fleet.processes["side"].keeper.view.is_key_valid("k", 2))

    def test_change_reaches_process_cut_from_the_object_api(self):
        for vm in "bcd":
            self.fleet.processes[vm].store.reachable = False
        self.fleet.put(make_adapter("new"), Kind.ADAPTER)
        self.fleet.advance(6)
        self.assertEqual(self.fleet.find_stale(), [])

    def test_process_started_in_an_outage_gets_all_from_peers(self):
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

    def test_waiting_costs_few_calls(self):
        calls = {vm: p.store.calls for vm, p in self.fleet.processes.items()}
        self.fleet.advance(60)
        spent = {
            vm: process.store.calls - calls[vm]
            for vm, process in self.fleet.processes.items()
        }
        self.assertEqual(spent, {"a": 3, "b": 0, "c": 0, "d": 0, "side": 0})

    def test_lost_event_is_found_although_the_next_watch_fails(self):
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
        # A listing that failed is tried again after a watch period.
        self.fleet.advance(20 + 7)
        self.assertEqual(self.fleet.find_stale(), [])

    def test_revision_in_a_heartbeat_is_enough_to_pull(self):
        fleet = Fleet(settings=CatalogueSettings(pull_interval=timedelta(minutes=9)))
        fleet.start("a", watching=True)
        fleet.start("b")
        fleet.advance(10)
        fleet.put(make_adapter("new"), Kind.ADAPTER)
        fleet.advance(1.1)
        self.assertEqual(fleet.find_stale(), [])

    def test_lost_event_is_found_by_watching_again(self):
        self.fleet.processes["a"].store.lost_event_rate = 1.0
        self.fleet.put(make_adapter("lost"), Kind.ADAPTER)
        self.fleet.processes["a"].store.lost_event_rate = 0.0
        self.fleet.put(make_adapter("seen"), Kind.ADAPTER)
        self.fleet.advance(1)
        self.assertNotEqual(self.fleet.find_stale(), [])
        self.fleet.advance(55)
        self.assertEqual(self.fleet.find_stale(), [])
