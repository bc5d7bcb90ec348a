import random
import unittest
from datetime import timedelta

from balsamspoke_catalogue import CatalogueView, encode_object
from balsamspoke_catalogue.listing import Listing
from balsamspoke_fakes import FakeStore, StoreState, VirtualClock, VirtualTime
from balsamspoke_types.objects import Kind

from .fleet import make_adapter


class ListingTest(unittest.TestCase):
    def setUp(self):
        self.time = VirtualTime()
        self.state = StoreState()
        clock = VirtualClock(self.time)
        self.store = FakeStore(self.state, clock, random.Random(0))
        self.view = CatalogueView((Kind.ADAPTER,))
        self.results = []
        self.listing = Listing(
            clock, self.store, self.view, self.view.put, self.results.append
        )

    def write(self, name):
        value = encode_object(make_adapter(name))
        return self.state.put(Kind.ADAPTER, name, value)

    def delete(self, name):
        return self.state.put(Kind.ADAPTER, name, b"", deleted=True)

    def list(self):
        self.listing.start()
        self.time.advance(timedelta(seconds=3))

    def test_missed_deletions_are_found(self):
        for name in "abc":
            self.view.put(self.write(name))
        self.view.advance(3)
        for name in "bc":
            self.delete(name)
        self.list()
        self.assertEqual(self.view.names(Kind.ADAPTER), ["a"])
        self.assertEqual((self.results, self.view.revision), ([True], 5))

    def test_stale_listing_deletes_nothing_newer(self):
        self.view.put(self.write("a"))
        self.view.put(self.write("b"))
        self.store.stale_reads = 2
        self.list()
        self.assertEqual(self.view.names(Kind.ADAPTER), ["a", "b"])

    def test_stale_listing_does_not_restore_a_deleted_object(self):
        self.view.put(self.write("a"))
        self.view.put(self.delete("a"))
        self.store.stale_reads = 1
        self.list()
        self.assertEqual(self.view.names(Kind.ADAPTER), [])

    def test_change_between_pages_is_not_skipped(self):
        for number in range(600):
            self.view.put(self.write(f"a{number:03}"))
        self.listing.start()
        # The first page, up to a499, is in transit during these writes.
        self.time.advance(timedelta(milliseconds=1.5))
        self.delete("a000")
        self.delete("a599")
        self.write("a599x")
        self.time.advance(timedelta(seconds=3))
        self.assertEqual(self.view.revision, 600)
        names = self.view.names(Kind.ADAPTER)
        self.assertIn("a000", names)
        self.assertEqual(names[-2:], ["a598", "a599x"])

    def test_failed_listing_keeps_the_revision(self):
        self.write("a")
        self.store.reachable = False
        self.list()
        self.assertEqual((self.results, self.view.is_complete), ([False], False))
