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


class SimultaneousStartTests(unittest.TestCase):
    """Streams that are taken up after all entry processes have started anew."""

    def make_fleet(self, entries, versions, **settings):
        fleet = EngineFleet(entries, versions=versions, is_first_start=True, **settings)
        fleet.pass_time(3)
        fleet.set_first_start(False)
        return fleet

    def restart_all(self, traffic, delay=0.5):
        """Kill all entry processes, and start them again after seconds."""
        fleet = traffic.fleet
        entries = list(fleet.entries)
        for ip in entries:
            traffic.kill_entry(ip, comes_back=False)
        fleet.pass_time(delay)
        for ip in entries:
            fleet.start_entry(ip)
        fleet.pass_time(0.1)

    def check(self, traffic, least_share):
        """Check that no stream is mixed, and how many of those resumed went on."""
        for caller in traffic.callers:
            numbers = [number for number, _ in caller.events]
            self.assertEqual(numbers, list(range(1, len(numbers) + 1)))
        self.assertEqual(traffic.count_mixed(), 0)
        self.assertGreaterEqual(len(traffic.resumed), 4)
        continued = traffic.count_continued()
        self.assertGreaterEqual(continued, least_share * len(traffic.resumed))

    def test_streams_go_on_at_once_where_there_was_one_version_all_along(self):
        for entries in (1, 4, 24):
            for names_requests in (True, False):
                with self.subTest(entries=entries, names_requests=names_requests):
                    fleet = self.make_fleet(entries, ("v1",))
                    traffic = ResumingTraffic(fleet, 1, names_requests)
                    traffic.run(2)
                    self.restart_all(traffic)
                    traffic.come_back()
                    fleet.pass_time(3)
                    self.check(traffic, 1.0)

    def test_streams_of_two_versions_go_on_each_at_its_own(self):
        for entries in (1, 4, 24):
            for names_requests in (True, False):
                with self.subTest(entries=entries, names_requests=names_requests):
                    fleet = self.make_fleet(entries, ("v1", "v2"))
                    traffic = ResumingTraffic(fleet, 2, names_requests)
                    traffic.run(2)
                    self.restart_all(traffic)
                    traffic.come_back()
                    fleet.pass_time(3)
                    self.check(traffic, 0.9)

    def test_no_stream_is_mixed_where_the_older_version_has_just_left(self):
        for entries in (1, 4, 24):
            for delay in (0.5, 6, 12, 20, 28):
                with self.subTest(entries=entries, delay=delay):
                    fleet = self.make_fleet(entries, ("v1", "v2"))
                    traffic = ResumingTraffic(fleet, 3)
                    traffic.run(1)
                    fleet.remove_version("v1")
                    self.restart_all(traffic)
                    fleet.pass_time(delay)
                    traffic.come_back()
                    fleet.pass_time(3)
                    self.check(traffic, 0.1)

    def test_nor_if_the_side_processes_have_ended_too(self):
        for versions in (("v1", "v2"), ("v1",)):
            with self.subTest(versions=versions):
                fleet = self.make_fleet(4, versions)
                traffic = ResumingTraffic(fleet, 4)
                traffic.run(1)
                for ip in fleet.sides:
                    fleet.start_side(ip)
                if len(versions) > 1:
                    fleet.remove_version("v1")
                self.restart_all(traffic)
                traffic.come_back()
                fleet.pass_time(3)
                self.check(traffic, 1.0 if len(versions) == 1 else 0.0)

    def test_nor_by_processes_that_live_on(self):
        fleet = self.make_fleet(4, ("v1", "v2"))
        traffic = ResumingTraffic(fleet, 5, names_requests=False)
        traffic.run(1)
        fleet.loses_messages = True
        fleet.remove_version("v1")
        traffic.kill_entry("10.0.1.1", comes_back=False)
        fleet.pass_time(20)
        traffic.come_back()
        fleet.pass_time(3)
        self.check(traffic, 0.0)

    def test_nor_if_all_end_in_the_first_second_of_a_rollout(self):
        for delay in (0.05, 0.2, 0.5, 0.9):
            with self.subTest(delay=delay):
                fleet = self.make_fleet(4, ("v1",))
                traffic = ResumingTraffic(fleet, 6)
                traffic.run(2)
                fleet.release_version("v2", 3)
                traffic.run(delay)
                fleet.remove_version("v1")
                self.restart_all(traffic)
                traffic.come_back()
                fleet.pass_time(3)
                self.check(traffic, 0.0)

    def test_nor_if_a_configuration_shortens_the_timeouts_meanwhile(self):
        fleet = self.make_fleet(4, ("v1", "v2"), timeout=40)
        traffic = ResumingTraffic(fleet, 7, names_requests=False)
        traffic.run(1)
        fleet.loses_messages = True
        fleet.remove_version("v1")
        fleet.set_timeout(2)
        self.restart_all(traffic)
        fleet.pass_time(45)
        traffic.come_back()
        fleet.pass_time(3)
        self.check(traffic, 0.0)

    def test_nor_where_the_store_is_dark_at_the_start(self):
        fleet = self.make_fleet(4, ("v1", "v2"))
        traffic = ResumingTraffic(fleet, 8)
        traffic.run(1)
        self.restart_all(traffic)
        fleet.store.go_away()
        traffic.come_back()
        fleet.pass_time(3)
        self.check(traffic, 0.5)

    def test_nor_by_a_version_that_could_not_be_registered(self):
        fleet = self.make_fleet(4, ("v1",))
        traffic = ResumingTraffic(fleet, 9)
        traffic.run(1)
        fleet.store.refuses_registers = True
        fleet.release_version("v2", 3)
        traffic.run(2)
        self.restart_all(traffic)
        traffic.come_back()
        fleet.pass_time(3)
        self.check(traffic, 0.5)

    def test_nor_by_a_store_that_was_restored_from_an_older_copy(self):
        fleet = self.make_fleet(4, ("v1",))
        traffic = ResumingTraffic(fleet, 10, names_requests=False)
        traffic.run(1)
        copy = fleet.store.copy()
        fleet.release_version("v2", 6)
        traffic.run(2)
        fleet.loses_messages = True
        entries = list(fleet.entries)
        for ip in entries:
            traffic.kill_entry(ip, comes_back=False)
        fleet.store.restore(copy)
        for ip in entries:
            fleet.start_entry(ip)
        fleet.pass_time(0.1)
        traffic.come_back()
        fleet.pass_time(3)
        self.check(traffic, 0.0)
