import random
import unittest
from datetime import timedelta

from balsamspoke_catalogue import CatalogueSettings, CatalogueView
from balsamspoke_catalogue.deltas import Place
from balsamspoke_catalogue.pulling import PeerPuller
from balsamspoke_fakes import VirtualClock, VirtualTime
from balsamspoke_types.identifiers import ProcessId
from balsamspoke_types.messages import CatalogueDelta
from balsamspoke_types.objects import Kind

from .fleet import make_adapter, store_object

A, B = ProcessId("a", 1), ProcessId("b", 2)
OBJECT = store_object(make_adapter(), Kind.ADAPTER, 12)


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
        self.puller.note_revision(A, 20)
        self.more = str(Place(20, 0, "v", 12, "adapters", "a"))

    def test_newer_revision_is_pulled_from_the_peer_that_has_it(self):
        ((peer, message),) = self.sent
        self.assertEqual((peer, message.since), (A, 10))

    def test_pull_that_breaks_off_takes_objects_and_advances_nothing(self):
        self.puller.take_delta(A, CatalogueDelta(10, (OBJECT,), 20, self.more))
        self.puller.forget_peer(A)
        self.assertEqual(self.view.revision, 10)
        self.assertEqual(self.view.version_of(Kind.ADAPTER, "a"), 12)
        self.assertEqual([peer for peer, _ in self.sent], [A, A, B])

    def test_doubled_page_asks_once_for_the_next(self):
        page = CatalogueDelta(10, (OBJECT,), 20, self.more)
        self.puller.take_delta(A, page)
        self.puller.take_delta(A, page)
        self.assertEqual([m.after for _, m in self.sent], ["", self.more])

    def test_page_that_was_not_asked_for_advances_nothing(self):
        self.puller.take_delta(B, CatalogueDelta(10, (OBJECT,), 20))
        self.puller.take_delta(A, CatalogueDelta(9, (OBJECT,), 20))
        self.assertEqual(self.view.revision, 10)
        self.puller.take_delta(A, CatalogueDelta(10, (), 20))
        self.assertEqual(self.view.revision, 20)

    def test_silent_peer_is_followed_by_another(self):
        self.time.advance(timedelta(seconds=1))
        self.assertEqual([peer for peer, _ in self.sent], [A, B])
