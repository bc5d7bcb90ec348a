"""Replicas that name a limit of their requests (docs/incidents, issue 28, LIMIT)."""

import unittest

from .engine_fleet import EngineFleet
from .fleet_traffic import Traffic
from .world import seconds

# Bounds of the users: from STABLE_WINDOW after a replica first named its limit, it gets
# at most LIMIT_FACTOR times what the limit allows in LIMIT_WINDOW, and EXTRA_REQUESTS,
# from the processes that have known it for KNOWN_TIME. All times are in seconds.
STABLE_WINDOW = 3.0
LIMIT_WINDOW = 4.0
LIMIT_FACTOR = 1.5
EXTRA_REQUESTS = 5
KNOWN_TIME = 0.5
RATE = 3.6


class LimitedReplicaTests(unittest.TestCase):
    def check(self, fleet, engine, named_at):
        """Check all windows of arrivals at an engine since it named its limit."""
        times = [
            each.time
            for each in fleet.arrivals
            if each.replica == engine.record.id
            and each.limit_known_at is not None
            and each.time >= each.limit_known_at + KNOWN_TIME
        ]
        allowed = LIMIT_FACTOR * engine.rate_limit * LIMIT_WINDOW + EXTRA_REQUESTS
        for end in times:
            if end > named_at + STABLE_WINDOW:
                count = sum(end - LIMIT_WINDOW < time <= end for time in times)
                self.assertLessEqual(count, allowed, f"in the window to {end:.1f} s")

    def limit_first_engine(self, fleet, rate=RATE):
        """Let an engine name its limit; return it and the time."""
        engine = next(iter(fleet.engines.values()))
        engine.rate_limit = rate
        return engine, fleet.seconds

    def test_all_processes_together_keep_the_rate_that_a_replica_names(self):
        for entries in (1, 4, 24):
            with self.subTest(entries=entries):
                fleet = EngineFleet(entries)
                traffic = Traffic(fleet, seed=entries)
                traffic.run(3, sound_rate=80, bad_rate=0)
                engine, named_at = self.limit_first_engine(fleet)
                traffic.run(12, sound_rate=80, bad_rate=0)
                self.check(fleet, engine, named_at)
                replica = engine.record.id
                since = [each for each in fleet.arrivals if each.time > named_at + 2]
                count = sum(each.replica == replica for each in since)
                self.assertGreater(count, 0.4 * RATE * 10)
                sent, served = traffic.count_served(named_at)
                self.assertGreater(served, 0.95 * (sent - 80))

    def test_the_rate_is_kept_while_processes_start_anew_one_after_the_other(self):
        fleet = EngineFleet()
        traffic = Traffic(fleet, seed=5)
        traffic.run(3, sound_rate=80, bad_rate=0)
        engine, named_at = self.limit_first_engine(fleet)
        for ip in [*fleet.entries, *fleet.entries]:
            traffic.run(1.5, sound_rate=80, bad_rate=0)
            fleet.start_entry(ip)
        traffic.run(3, sound_rate=80, bad_rate=0)
        self.check(fleet, engine, named_at)

    def test_the_rate_is_kept_by_processes_that_hear_nothing_of_one_another(self):
        fleet = EngineFleet()
        traffic = Traffic(fleet, seed=6)
        traffic.run(3, sound_rate=80, bad_rate=0)
        fleet.loses_messages = True
        engine, named_at = self.limit_first_engine(fleet)
        traffic.run(10, sound_rate=80, bad_rate=0)
        fleet.loses_messages = False
        traffic.run(5, sound_rate=80, bad_rate=0)
        self.check(fleet, engine, named_at)

    def test_callers_are_refused_at_once_while_all_replicas_are_at_their_rate(self):
        fleet = EngineFleet(engines=2)
        traffic = Traffic(fleet, seed=7)
        traffic.run(2, sound_rate=20, bad_rate=0)
        for engine in fleet.engines.values():
            engine.rate_limit = RATE
        named_at = fleet.seconds
        traffic.run(10, sound_rate=40, bad_rate=0)
        for engine in fleet.engines.values():
            self.check(fleet, engine, named_at)
        refused = [sink for _, sink in traffic.sound if sink.refusal is not None]
        self.assertGreater(len(refused), 200)
        for sink in refused:
            self.assertGreater(sink.refusal.retry_after, seconds(0))
            self.assertLess(sink.refusal.retry_after, seconds(10))

    def test_a_replica_gets_its_usual_requests_once_it_names_no_limit(self):
        fleet = EngineFleet()
        traffic = Traffic(fleet, seed=8)
        traffic.run(3, sound_rate=80, bad_rate=0)
        engine, _ = self.limit_first_engine(fleet)
        traffic.run(6, sound_rate=80, bad_rate=0)
        engine.rate_limit = None
        traffic.run(3, sound_rate=80, bad_rate=0)
        lifted_at = fleet.seconds
        traffic.run(5, sound_rate=80, bad_rate=0)
        replicas = [each.replica for each in fleet.arrivals if each.time > lifted_at]
        self.assertGreater(replicas.count(engine.record.id), 0.08 * len(replicas))


if __name__ == "__main__":
    unittest.main()
