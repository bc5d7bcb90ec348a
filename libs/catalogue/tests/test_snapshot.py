import unittest

from balsamspoke_catalogue import CatalogueSettings
from balsamspoke_types.objects import Kind

from .fleet import Fleet, make_adapter


class SnapshotTest(unittest.TestCase):
    def test_process_from_before_the_floor_takes_a_snapshot(self):
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
            objects = fleet.processes[vm].keeper.view._objects[Kind.ADAPTER]
            fleet.processes[vm].keeper.view.raise_floor(fleet.state.revision)
            dropped = objects.drop_tombstones(0)
            self.assertGreater(dropped, 0)
        late.clock.resume()
        fleet.advance(10)
        self.assertEqual(fleet.find_stale(), [])
        self.assertIsNone(fleet.processes["a"].keeper.view.adapter("a00001"))
