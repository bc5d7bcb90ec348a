import unittest

from balsamspoke_catalogue import CatalogueView
from balsamspoke_catalogue.deltas import make_page
from balsamspoke_fakes.properties import examples
from balsamspoke_types.messages import PullCatalogue
from balsamspoke_types.objects import KeyRecord, Kind
from balsamspoke_types.ports import StoredObject
from hypothesis import given
from hypothesis import strategies as st

from .fleet import make_adapter, make_stored_object


def make_key(version, digest="0" * 64, team="t"):
    return make_stored_object(KeyRecord("k", team, digest), Kind.KEY, version)


def make_tombstone(kind, name, version):
    return StoredObject(kind, name, version, b"", True)


class ViewTest(unittest.TestCase):
    def setUp(self):
        self.view = CatalogueView(maximum_tombstones=4)

    def test_older_and_repeated_versions_are_not_applied(self):
        new = make_stored_object(make_adapter(version=2), Kind.ADAPTER, 9)
        old = make_stored_object(make_adapter(version=1), Kind.ADAPTER, 8)
        applied = [self.view.put(stored) for stored in (new, old, new)]
        self.assertEqual(applied, [True, False, False])
        self.assertEqual(self.view.adapter("a").default_version, 2)

    def test_older_object_does_not_replace_a_tombstone(self):
        self.view.put(make_tombstone(Kind.ADAPTER, "a", 9))
        self.view.put(make_stored_object(make_adapter(), Kind.ADAPTER, 8))
        self.assertIsNone(self.view.adapter("a"))
        self.assertEqual(self.view.names(Kind.ADAPTER), [])

    def test_object_is_not_restored_after_its_tombstone_is_dropped(self):
        for version in range(1, 20):
            self.view.put(make_tombstone(Kind.ADAPTER, f"a{version}", version))
        self.assertGreater(self.view.compacted_revision, 0)
        stale = make_stored_object(
            make_adapter("a1"), Kind.ADAPTER, self.view.compacted_revision - 1
        )
        self.assertFalse(self.view.put(stale))
        self.assertTrue(
            self.view.put(stale, seen_revision=self.view.compacted_revision)
        )

    def test_tombstones_of_keys_are_kept(self):
        for version in range(1, 20):
            self.view.put(make_tombstone(Kind.KEY, f"k{version}", version))
        self.assertEqual(
            (
                self.view.compacted_revision,
                self.view.get_current_version(Kind.KEY, "k1"),
            ),
            (0, 1),
        )

    def test_adapters_of_a_team_change_with_their_owner(self):
        self.view.put(make_stored_object(make_adapter("a", "t"), Kind.ADAPTER, 1))
        self.view.put(make_stored_object(make_adapter("a", "u"), Kind.ADAPTER, 2))
        self.assertEqual(
            (self.view.list_adapters("t"), self.view.list_adapters("u")), ([], ["a"])
        )

    def test_key_is_found_until_it_is_withdrawn_or_changed(self):
        self.view.put(make_key(1))
        self.assertEqual(self.view.find_key("0" * 64).version, 1)
        self.view.put(make_key(2, "1" * 64))
        self.assertIsNone(self.view.find_key("0" * 64))
        self.view.put(make_tombstone(Kind.KEY, "k", 3))
        self.assertIsNone(self.view.find_key("1" * 64))

    def test_key_checked_before_a_change_is_not_valid(self):
        self.assertTrue(self.view.is_key_valid("k", 1))
        self.view.put(make_key(2))
        self.view.put(make_key(3))
        self.assertTrue(self.view.is_key_valid("k", 2))
        self.view.put(make_key(4, team="u"))
        self.assertFalse(self.view.is_key_valid("k", 3))
        self.view.put(make_tombstone(Kind.KEY, "k", 5))
        self.assertFalse(self.view.is_key_valid("k", 4))
        self.assertTrue(self.view.is_key_valid("k", 6))

    def test_invalid_value_authorizes_nothing(self):
        self.view.put(make_key(1))
        self.view.put(StoredObject(Kind.KEY, "k", 2, b"{"))
        self.assertIsNone(self.view.find_key("0" * 64))
        self.assertFalse(self.view.is_key_valid("k", 1))


class DeltaTest(unittest.TestCase):
    @examples(100)
    @given(
        writes=st.lists(st.tuples(st.integers(0, 9), st.booleans()), max_size=30),
        client_writes=st.integers(0, 30),
        later=st.lists(st.tuples(st.integers(0, 9), st.booleans()), max_size=6),
    )
    def test_pages_bring_the_client_up_to_the_first_page(
        self, writes, client_writes, later
    ):
        server, client = CatalogueView(), CatalogueView()
        objects = [
            make_tombstone(Kind.ADAPTER, f"a{name}", version)
            if deleted
            else make_stored_object(make_adapter(f"a{name}"), Kind.ADAPTER, version)
            for version, (name, deleted) in enumerate(writes + later, 1)
        ]
        for stored in objects[:client_writes]:
            client.put(stored)
            client.advance(stored.version)
        for stored in objects[: len(writes)]:
            server.put(stored)
        server.advance(len(writes))
        remaining = objects[len(writes) :]
        pull = PullCatalogue(client.revision)
        while True:
            page = make_page(server, pull, page_bytes=150)
            for stored in page.objects:
                client.put(stored)
            if not page.more:
                break
            if remaining:
                server.put(remaining.pop(0))
                server.advance(server.revision + 1)
            pull = PullCatalogue(pull.since, page.more)
        self.assertEqual(page.revision, len(writes))
        for stored in objects[: len(writes)]:
            version = client.get_current_version(Kind.ADAPTER, stored.name)
            self.assertGreaterEqual(version, stored.version)

    def test_client_behind_the_compacted_revision_is_refused(self):
        view = CatalogueView()
        view.advance(10)
        view.raise_compacted_revision(8)
        page = make_page(view, PullCatalogue(7))
        self.assertEqual((page.since, page.revision), (0, -1))
