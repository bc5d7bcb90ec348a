import unittest
from datetime import timedelta

from balsamspoke_fakes import FakeStore, StoreState, VirtualClock, VirtualTime
from balsamspoke_types.exceptions import (
    ObjectNotFound,
    StoreUnavailable,
    VersionConflict,
    WriteOutcomeUnknown,
)
from balsamspoke_types.objects import Kind


class FakeStoreTest(unittest.TestCase):
    def setUp(self):
        self.time = VirtualTime()
        self.store = FakeStore(StoreState(), VirtualClock(self.time))

    def get_result(self, deferred):
        results = []
        deferred.addBoth(results.append)
        self.time.advance(timedelta(seconds=5))
        return results[0]

    def assert_fails(self, deferred, expected):
        failure = self.get_result(deferred)
        self.assertIsInstance(failure.value, expected)

    def test_create_of_an_existing_object_and_stale_update_conflict(self):
        created = self.get_result(self.store.create(Kind.TEAM, "a", b"1"))
        self.assert_fails(self.store.create(Kind.TEAM, "a", b"2"), VersionConflict)
        changed = self.get_result(
            self.store.update(Kind.TEAM, "a", b"3", created.version)
        )
        self.assertEqual(changed.value, b"3")
        stale = self.store.update(Kind.TEAM, "a", b"4", created.version)
        self.assert_fails(stale, VersionConflict)
        self.get_result(self.store.delete(Kind.TEAM, "a", changed.version))
        self.assert_fails(self.store.read(Kind.TEAM, "a"), ObjectNotFound)

    def test_write_with_a_lost_reply_takes_effect(self):
        self.store.lost_reply_rate = 1.0
        write = self.store.create(Kind.TEAM, "a", b"1")
        self.assert_fails(write, WriteOutcomeUnknown)
        self.store.lost_reply_rate = 0.0
        self.assertEqual(self.get_result(self.store.read(Kind.TEAM, "a")).value, b"1")

    def test_read_fails_during_an_outage(self):
        self.store.state.available = False
        self.assert_fails(self.store.read(Kind.TEAM, "a"), StoreUnavailable)

    def test_watch_reports_only_later_writes(self):
        created = self.get_result(self.store.create(Kind.TEAM, "a", b"1"))
        pages = []
        self.store.watch((Kind.TEAM,), created.version, pages.append, self.fail)
        self.get_result(self.store.create(Kind.TEAM, "b", b"2"))
        names = [stored.name for page in pages for stored in page.objects]
        self.assertEqual(names, ["b"])
