import random
import unittest
from datetime import timedelta

from balsamspoke_catalogue import CatalogueSettings, CatalogueView
from balsamspoke_catalogue.deltas import PageCursor
from balsamspoke_catalogue.pulling import PeerPuller
from balsamspoke_fakes import VirtualClock, VirtualTime
from balsamspoke_types.identifiers import ProcessId
from balsamspoke_types.messages import CatalogueDelta
from balsamspoke_types.objects import Kind

from .fleet import make_adapter, make_stored_object

A, B = ProcessId("a", 1), ProcessId("b", 2)
OBJECT = make_stored_object(make_adapter(), Kind.ADAPTER, 12)


class PullerTest(unittest.TestCase):
    def setUp(self):
        self.time = VirtualTime()
        self.view = CatalogueView()
        self.view.advance(10)
        self.sent = []
        self.puller = PeerPuller(
            VirtualClock(self.time),
            random.Random(0),
            lambda peer, message: self.sent.append((peer, message)),
            self.view,
            CatalogueSettings(),
            self.view.put,
            lambda before: None,
        )
        self.puller.set_peers((A, B))
        self.puller.update_peer_revision(A, 20)
        self.more = str(PageCursor(20, 0, "v", 12, "adapters", "a"))

    def test_newer_revision_is_pulled_from_the_reporting_peer(self):
        ((peer, message),) = self.sent
        self.assertEqual((peer, message.since), (A, 10))

    def test_interrupted_pull_applies_objects_but_keeps_the_revision(self):
        self.puller.handle_delta(A, CatalogueDelta(10, (OBJECT,), 20, self.more))
        self.puller.remove_peer(A)
        self.assertEqual(self.view.revision, 10)
        self.assertEqual(self.view.get_current_version(Kind.ADAPTER, "a"), 12)
        self.assertEqual([peer for peer, _ in self.sent], [A, A, B])

    def test_duplicate_page_requests_the_next_page_once(self):
        page = CatalogueDelta(10, (OBJECT,), 20, self.more)
        self.puller.handle_delta(A, page)
        self.puller.handle_delta(A, page)
        self.assertEqual([m.after for _, m in self.sent], ["", self.more])

    def test_unexpected_page_keeps_the_revision(self):
        self.puller.handle_delta(B, CatalogueDelta(10, (OBJECT,), 20))
        self.puller.handle_delta(A, CatalogueDelta(9, (OBJECT,), 20))
        self.assertEqual(self.view.revision, 10)
        self.puller.handle_delta(A, CatalogueDelta(10, (), 20))
        self.assertEqual(self.view.revision, 20)

    def test_timeout_moves_the_pull_to_another_peer(self):
        self.time.advance(timedelta(seconds=1))
        self.assertEqual([peer for peer, _ in self.sent], [A, B])
