import unittest

from balsamspoke_catalogue import CatalogueSettings
from balsamspoke_types.objects import Kind

from .fleet import Fleet, make_adapter


class SnapshotTest(unittest.TestCase):
    def test_process_behind_the_compacted_revision_pulls_a_snapshot(self):
        fleet = Fleet(settings=CatalogueSettings(page_bytes=150))
        fleet.fill()
        fleet.start("w", watching=True)
        fleet.start("a")
        fleet.advance(5)
        late = fleet.start("late")
        fleet.advance(5)
        late.clock.pause()
        late.store.reachable = False
        fleet.state.put(Kind.ADAPTER, "a00001", b"", deleted=True)
        fleet.put(make_adapter("new"), Kind.ADAPTER)
        fleet.advance(90)
        for vm in "wa":
            objects = fleet.processes[vm].synchronizer.view._objects[Kind.ADAPTER]
            fleet.processes[vm].synchronizer.view.raise_compacted_revision(
                fleet.state.revision
            )
            dropped_revision = objects.drop_tombstones(0)
            self.assertGreater(dropped_revision, 0)
        late.clock.resume()
        fleet.advance(10)
        self.assertEqual(fleet.find_stale(), [])
        self.assertIsNone(fleet.processes["a"].synchronizer.view.adapter("a00001"))
