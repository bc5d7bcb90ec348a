import unittest
from datetime import timedelta

from balsamspoke_platform import HttpObjectStore, write_settled
from balsamspoke_standins.object_api import ObjectApiResource
from balsamspoke_types.exceptions import (
    ObjectNotFound,
    ObjectTooLarge,
    StoreUnavailable,
    VersionConflict,
    WatchExpired,
    WriteOutcomeUnknown,
)
from balsamspoke_types.objects import Kind

from .memory_network import MemoryNetwork

PORT = 1


class ObjectApiTests(unittest.TestCase):
    def setUp(self):
        self.network = MemoryNetwork()
        self.api = ObjectApiResource(self.network.clock)
        self.store = HttpObjectStore(self.network.add(PORT, self.api))

    def get(self, deferred, seconds=5.0):
        return self.network.get(deferred, seconds)

    def test_write_read_and_delete(self):
        name = "a b/c?%"
        created = self.get(self.store.create(Kind.TEAM, name, b"one"))
        updated = self.get(self.store.update(Kind.TEAM, name, b"", created.version))
        self.assertEqual(self.get(self.store.read(Kind.TEAM, name)), updated)
        tombstone = self.get(self.store.delete(Kind.TEAM, name, updated.version))
        self.assertTrue(tombstone.deleted)
        self.assertGreater(tombstone.version, updated.version)
        with self.assertRaises(ObjectNotFound):
            self.get(self.store.read(Kind.TEAM, name))
        with self.assertRaises(ObjectNotFound):
            self.get(self.store.delete(Kind.TEAM, name, tombstone.version))

    def test_conflict_carries_the_current_object(self):
        created = self.get(self.store.create(Kind.TEAM, "a", b"one"))
        with self.assertRaises(VersionConflict) as caught:
            self.get(self.store.create(Kind.TEAM, "a", b"two"))
        self.assertEqual(caught.exception.current, created)
        with self.assertRaises(VersionConflict) as caught:
            self.get(self.store.update(Kind.TEAM, "b", b"two", 1))
        self.assertIsNone(caught.exception.current)

    def test_value_over_the_limit_is_refused(self):
        self.get(self.store.create(Kind.TEAM, "fits", bytes(1_000_000)))
        with self.assertRaises(ObjectTooLarge):
            self.get(self.store.create(Kind.TEAM, "large", bytes(1_000_001)))

    def test_listing_by_page_returns_all_but_deleted_objects(self):
        for number in range(1201):
            self.api.state.put("teams", f"{number:04}", b"x")
        self.api.state.put("teams", "0007", b"", deleted=True)
        names, page = [], ""
        while True:
            found = self.get(self.store.list_page(Kind.TEAM, page))
            names += [stored.name for stored in found.objects]
            page = found.next_page
            if not page:
                break
        expected = [f"{number:04}" for number in range(1201) if number != 7]
        self.assertEqual(names, expected)
        self.assertEqual(found.revision, 1202)

    def test_outage_is_retried_for_reads_but_not_for_writes(self):
        self.api.faults.available = False
        with self.assertRaises(StoreUnavailable):
            self.get(self.store.read(Kind.TEAM, "a"))
        self.assertEqual(self.api.calls["read"], 3)
        with self.assertRaises(WriteOutcomeUnknown):
            self.get(self.store.create(Kind.TEAM, "a", b"one"))
        self.assertEqual(self.api.calls["create"], 1)

    def test_refused_connection_is_reported_as_unavailable(self):
        del self.network.sites[PORT]
        with self.assertRaises(StoreUnavailable):
            self.get(self.store.create(Kind.TEAM, "a", b"one"))

    def test_slow_write_is_unknown(self):
        self.api.faults.delay_ms = 3000
        with self.assertRaises(WriteOutcomeUnknown):
            self.get(self.store.create(Kind.TEAM, "a", b"one"))
        self.network.run(3)
        self.assertEqual(self.api.state.find("teams", "a").value, b"one")

    def test_lost_reply_is_unknown_and_sent_once(self):
        self.api.faults.lost_reply_rate = 1.0
        with self.assertRaises(WriteOutcomeUnknown):
            self.get(self.store.create(Kind.TEAM, "a", b"one"))
        self.assertEqual(self.api.calls["create"], 1)
        self.assertEqual(self.api.state.find("teams", "a").value, b"one")

    def test_settled_write_takes_effect_once_despite_lost_replies(self):
        self.api.faults.lost_reply_rate = 0.4
        for operation in (b"A", b"B", b"C", b"D"):

            def change(current, operation=operation):
                value = current.value if current else b""
                return None if operation in value else value + operation

            self.get(write_settled(self.store, Kind.TEAM, "a", change), 60)
        self.assertEqual(self.api.state.find("teams", "a").value, b"ABCD")

    def test_stale_reads_do_not_affect_writes(self):
        created = self.get(self.store.create(Kind.TEAM, "a", b"one"))
        updated = self.get(self.store.update(Kind.TEAM, "a", b"two", created.version))
        self.api.faults.stale_reads = 1
        self.assertEqual(self.get(self.store.read(Kind.TEAM, "a")), created)
        with self.assertRaises(VersionConflict) as caught:
            self.get(self.store.update(Kind.TEAM, "a", b"x", created.version))
        self.assertEqual(caught.exception.current, updated)


class WatchTests(unittest.TestCase):
    def setUp(self):
        self.network = MemoryNetwork()
        self.api = ObjectApiResource(self.network.clock)
        self.store = HttpObjectStore(self.network.add(PORT, self.api))
        self.pages, self.failures = [], []

    def watch(self, revision=0):
        kinds = (Kind.TEAM, Kind.KEY)
        return self.store.watch(
            kinds, revision, self.pages.append, self.failures.append
        )

    def get_received_names(self):
        return [stored.name for page in self.pages for stored in page.objects]

    def test_watch_receives_missed_and_new_events_of_its_kinds(self):
        self.api.state.put("teams", "old", b"")
        self.watch()
        self.network.run(0.01)
        self.network.get(self.store.create(Kind.KEY, "new", b"x"))
        self.network.get(self.store.create(Kind.MODEL, "other", b"x"))
        self.network.run(65)
        self.assertEqual(self.get_received_names(), ["old", "new"])
        self.assertEqual(self.pages[-1].revision, 3)
        self.assertEqual(self.failures, [])

    def test_watch_fails_for_an_expired_revision(self):
        for number in range(20_010):
            self.api.state.put("teams", str(number % 10), b"")
        self.watch(5)
        self.network.run(0.01)
        self.assertIsInstance(self.failures[0], WatchExpired)

    def test_outage_ends_the_watch_once(self):
        self.watch()
        self.network.run(0.01)
        control = self.network.add(PORT, self.api).call
        body = b'{"available": false}'
        self.network.get(control("POST", "/control", timedelta(seconds=1), (), body))
        self.network.run(1)
        self.assertEqual([type(end) for end in self.failures], [StoreUnavailable])

    def test_stopped_watch_reports_nothing(self):
        watch = self.watch()
        self.network.run(0.01)
        watch.stop()
        self.api.state.put("teams", "late", b"")
        self.network.run(35)
        self.assertEqual((self.pages, self.failures), ([], []))
