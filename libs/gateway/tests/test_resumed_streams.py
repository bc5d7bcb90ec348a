import unittest

from .engine_fleet import EngineFleet
from .resuming_callers import ResumingTraffic


class MixedVersionTests(unittest.TestCase):
    """Streams of which each must hold events of one software version."""

    def play(self, seed, entries=4, versions=("v1", "v2")):
        """Return the ResumingTraffic of a day with crashes, kills and resets."""
        fleet = EngineFleet(entries, versions=versions)
        fleet.pass_time(3)
        struck = max(1, entries // 3)
        killed = [f"10.0.1.{number}" for number in range(1, struck + 1)]
        traffic = ResumingTraffic(fleet, seed)
        traffic.run(2)
        fleet.engines["10.0.0.1"].crash()
        traffic.run(0.5)
        if entries > 1:
            for ip in killed:
                traffic.kill_entry(ip)
            traffic.run(0.5)
            for ip in killed:
                fleet.start_entry(ip)
        traffic.run(2)
        fleet.engines["10.0.0.2"].crash()
        traffic.run(0.1)
        for number in range(struck):
            traffic.reset_connections(f"10.0.1.{entries - number}")
        traffic.run(1)
        fleet.pass_time(5)
        return traffic

    def check(self, traffic):
        for caller in traffic.callers:
            numbers = [number for number, _ in caller.events]
            self.assertEqual(numbers, list(range(1, len(numbers) + 1)))
        self.assertEqual(traffic.count_mixed(), 0)
        resumed = len(traffic.resumed)
        self.assertGreaterEqual(resumed, 4)
        self.assertGreaterEqual(traffic.count_continued(), resumed / 2)

    def test_streams_of_one_version_each_with_several_processes(self):
        for entries in (1, 4, 24):
            for seed in range(3):
                with self.subTest(entries=entries, seed=seed):
                    self.check(self.play(seed, entries))

    def test_streams_go_on_where_all_replicas_have_one_version(self):
        for entries in (1, 4):
            with self.subTest(entries=entries):
                self.check(self.play(1, entries, ("v1",)))

    def test_a_stream_goes_on_within_its_answer_at_the_same_version(self):
        fleet = EngineFleet(1, versions=("v1", "v2"))
        fleet.pass_time(3)
        traffic = ResumingTraffic(fleet, 0)
        for number in range(1, 7):
            traffic.run(0.4)
            fleet.engines[f"10.0.0.{number}"].crash()
        fleet.pass_time(5)
        self.assertEqual(traffic.count_mixed(), 0)

    def test_a_process_that_is_cut_off_joins_no_versions(self):
        fleet = EngineFleet(4, versions=("v1", "v2"))
        fleet.pass_time(3)
        traffic = ResumingTraffic(fleet, 2)
        fleet.loses_messages = True
        fleet.store.go_away()
        traffic.run(1)
        traffic.kill_entry("10.0.1.2")
        traffic.run(1)
        fleet.pass_time(5)
        self.assertEqual(traffic.count_mixed(), 0)

    def test_processes_that_have_all_just_started_join_no_versions(self):
        fleet = EngineFleet(4, versions=("v1", "v2"))
        fleet.pass_time(3)
        traffic = ResumingTraffic(fleet, 3)
        traffic.run(1)
        for number in range(2, 5):
            traffic.kill_entry(f"10.0.1.{number}")
            fleet.start_entry(f"10.0.1.{number}")
        traffic.kill_entry("10.0.1.1")
        traffic.run(1)
        fleet.pass_time(5)
        self.assertEqual(traffic.count_mixed(), 0)
