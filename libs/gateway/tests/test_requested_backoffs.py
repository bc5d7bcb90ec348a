"""Engines that ask for a backoff (docs/incidents, issue 32, BUDGET)."""

import unittest

from .engine_fleet import EngineFleet
from .fleet_traffic import Traffic
from .world import seconds

# Bounds of the users: requests that may reach a replica from a process between
# KNOWN_TIME after it was told of a backoff and the end of that time, in seconds.
KNOWN_TIME = 0.5
MAX_ARRIVALS = 2


class RequestedBackoffTests(unittest.TestCase):
    def check(self, fleet):
        """Check the arrivals in each backoff that an engine asked for."""
        self.assertGreater(len(fleet.backoffs), 0)
        for each in fleet.backoffs:
            count = sum(
                arrival.entry == each.entry
                and arrival.replica == each.replica
                and each.told_at + KNOWN_TIME < arrival.time < each.ends_at
                for arrival in fleet.arrivals
            )
            self.assertLessEqual(count, MAX_ARRIVALS, each)

    def start(self, entries=4, backoff=3.0):
        """Return a fleet whose first engine asks for backoffs, and its traffic."""
        fleet = EngineFleet(entries)
        traffic = Traffic(fleet, seed=entries)
        traffic.run(3, sound_rate=80, bad_rate=0)
        engine = next(iter(fleet.engines.values()))
        engine.backoff = seconds(backoff)
        return fleet, engine, traffic

    def test_an_engine_is_left_alone_for_the_time_that_it_asks_for(self):
        for entries in (1, 4, 24):
            with self.subTest(entries=entries):
                fleet, _, traffic = self.start(entries)
                traffic.run(10, sound_rate=80, bad_rate=0)
                self.check(fleet)

    def test_also_if_its_entry_in_the_store_lapses_and_returns(self):
        fleet, engine, traffic = self.start(backoff=9.0)
        for _ in range(3):
            traffic.run(1, sound_rate=80, bad_rate=0)
            fleet.store.write("replicas", engine.record.id, None)
            traffic.run(1.5, sound_rate=80, bad_rate=0)
            fleet.store.write("replicas", engine.record.id, engine.record)
        traffic.run(4, sound_rate=80, bad_rate=0)
        self.check(fleet)

    def test_also_if_it_asks_for_minutes(self):
        fleet, _, traffic = self.start(backoff=300.0)
        traffic.run(200, sound_rate=20, bad_rate=0)
        self.check(fleet)


if __name__ == "__main__":
    unittest.main()
