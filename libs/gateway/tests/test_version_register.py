import random
import unittest
from dataclasses import replace
from unittest import mock

from balsamspoke_fakes.properties import examples
from balsamspoke_gateway.observing import VersionsRegistered
from balsamspoke_gateway.stream_versions import (
    ServiceVersions,
    StoredRegister,
    StreamOrigin,
    VersionRegister,
    make_stream_keys,
)
from balsamspoke_gateway.stream_versions.history import VersionHistory
from balsamspoke_gateway.stream_versions.lifetime import MAX_LIFETIME, StreamLifetime
from balsamspoke_gateway.stream_versions.upkeep import RegisterUpkeep
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.defer import Deferred

from .engine_fleet import EngineFleet
from .entry_world import EntryWorld, FakeStore, FakeVersionRegister
from .resuming_callers import ResumingTraffic
from .world import CONFIGURATION, make_record, seconds

LIFETIME = seconds(30)
TWO = VersionRegister({"engines": ServiceVersions(frozenset(("v1", "v2")))}, LIFETIME)


def list_writes(world):
    """Return the VersionsRegistered events of a process."""
    events = world.observer.events
    return [each for each in events if isinstance(each, VersionsRegistered)]


class UpkeepTests(unittest.TestCase):
    """One process that reads a register while v1 leaves the service."""

    def setUp(self):
        self.history = VersionHistory()
        self.upkeep = RegisterUpkeep(self.history)
        self.register = replace(TWO, is_complete=True)
        self.revision = 1
        self.era = 0
        self.now = 0
        self.history.restart(seconds(0))
        self.listed = {("engines", "v2")}

    def live(self, duration, step=1):
        """Pass seconds, and change the register as is decided."""
        for _ in range(0, duration, step):
            self.now += step
            self.history.record(self.listed, seconds(self.now))
            stored = StoredRegister(self.register, self.revision, self.era)
            changed = self.upkeep.choose_change(stored, LIFETIME, seconds(self.now))
            if changed is not None:
                self.register = changed
                self.revision += 1

    def list_all(self):
        return self.register.list_versions("engines")

    def test_a_version_that_has_gone_is_retired_and_removed_a_lifetime_later(self):
        self.live(9)
        self.assertTrue(self.register.is_current("engines", "v1"))
        self.live(3)
        self.assertFalse(self.register.is_current("engines", "v1"))
        self.live(70)
        self.assertEqual(self.list_all(), {"v1", "v2"})
        self.live(15)
        self.assertEqual(self.list_all(), {"v2"})

    def test_a_version_that_is_back_for_a_moment_is_kept_for_a_whole_lifetime(self):
        self.live(80)
        self.register = self.register.add("engines", "v1")
        self.revision += 1
        self.live(40)
        self.assertEqual(self.list_all(), {"v1", "v2"})

    def test_retired_anew_between_two_reads_it_is_kept_for_a_whole_lifetime(self):
        self.live(80)
        self.register = self.register.add("engines", "v1").retire("engines", "v1", 99)
        self.live(40)
        self.assertEqual(self.list_all(), {"v1", "v2"})

    def test_a_process_that_has_just_started_waits_for_a_whole_lifetime(self):
        self.live(80)
        self.upkeep = RegisterUpkeep(self.history)
        self.live(40)
        self.assertEqual(self.list_all(), {"v1", "v2"})

    def test_a_process_with_a_gap_in_what_it_heard_retires_nothing(self):
        self.live(9)
        self.history.restart(seconds(self.now))
        self.live(5)
        self.assertTrue(self.register.is_current("engines", "v1"))

    def test_an_incomplete_register_is_complete_once_older_streams_have_ended(self):
        self.register = replace(TWO, is_complete=False)
        self.live(70)
        self.assertFalse(self.register.is_reliable(0))
        self.live(10)
        self.assertTrue(self.register.is_reliable(0))

    def test_a_register_of_another_era_is_not_reliable_for_as_long(self):
        self.register = replace(self.register, era=3)
        self.live(70)
        self.assertEqual(self.register.era, 0)
        self.assertFalse(self.register.is_complete)
        self.live(10)
        self.assertTrue(self.register.is_reliable(0))

    def test_a_later_era_counts_from_its_own_begin(self):
        self.register = replace(TWO, is_complete=False)
        self.live(60)
        self.register = replace(self.register, era=1)
        self.era = 1
        self.live(60)
        self.assertFalse(self.register.is_complete)
        self.live(20)
        self.assertTrue(self.register.is_reliable(1))

    def test_a_complete_register_counts_only_in_its_era(self):
        self.assertTrue(self.register.is_reliable(0))
        self.assertFalse(self.register.is_reliable(1))

    def test_the_lifetime_never_shrinks(self):
        self.register = replace(self.register, lifetime=seconds(120))
        self.live(100)
        self.assertEqual(self.list_all(), {"v1", "v2"})
        self.assertEqual(self.register.lifetime, seconds(120))

    def test_a_missing_register_is_not_created_by_upkeep(self):
        stored = StoredRegister(None, 0, 0)
        self.assertIsNone(self.upkeep.choose_change(stored, LIFETIME, seconds(1)))


class LifetimeTests(unittest.TestCase):
    def test_it_covers_timeouts_and_patience_within_bounds(self):
        lifetime = StreamLifetime()
        lifetime.include_timeout(seconds(5))
        self.assertEqual(lifetime.value, seconds(30))
        lifetime.include_timeout(seconds(40))
        self.assertEqual(lifetime.value, seconds(120))
        lifetime.include_timeout(seconds(1))
        self.assertEqual(lifetime.value, seconds(120))
        lifetime.include(seconds(1e9))
        self.assertEqual(lifetime.value, MAX_LIFETIME)


class RegistrationTests(unittest.TestCase):
    """A process with replicas of v1, whose streams begin."""

    def setUp(self):
        self.store = FakeStore()
        self.world = self.start()

    def start(self, **settings):
        world = EntryWorld(self.store, **settings)
        world.configure(1)
        record = make_record("v1", "engines", software_version="v1")
        self.store.write("replicas", "v1", record)
        world.core.start()
        world.tell_state(record, {})
        return world

    def begin(self, world=None):
        """Return the seconds for which the first event of a stream is held."""
        world = world or self.world
        versions = world.context.stream_versions
        began_at = world.clock.monotonic()
        ended_at = []
        registering = versions.register("engines", "v1", seconds(5))
        Deferred.fromCoroutine(registering).addCallback(
            lambda _: ended_at.append(world.clock.monotonic())
        )
        while not ended_at:
            world.pass_time(0.01)
        return (ended_at[0] - began_at).total_seconds()

    def read(self):
        stored = FakeVersionRegister(self.store).read().result
        return stored.register

    def test_nothing_is_read_where_no_stream_may_be_resumed(self):
        self.store = FakeStore()
        world = EntryWorld(self.store)
        routes = [each for each in CONFIGURATION.routes if not each.is_resumable]
        configuration = replace(CONFIGURATION, routes=tuple(routes))
        self.store.write("configurations", "main", configuration)
        world.core.start()
        with mock.patch.object(FakeVersionRegister, "read") as read:
            world.pass_time(100)
        read.assert_not_called()

    def test_a_version_is_registered_before_the_first_event(self):
        self.assertEqual(self.begin(), 0)
        self.assertTrue(self.read().is_current("engines", "v1"))
        self.assertEqual(len(list_writes(self.world)), 1)

    def test_it_is_written_once_however_many_streams_and_processes(self):
        other = self.start(ip="10.0.1.2")
        for world in (self.world, other) * 5:
            self.begin(world)
        events = list_writes(self.world)
        events += list_writes(other)
        self.assertEqual(len(events), 1)

    def test_only_the_first_start_of_all_makes_a_register_complete(self):
        for is_first_start in (True, False):
            self.store = FakeStore()
            self.begin(self.start(is_first_start=is_first_start))
            self.assertEqual(self.read().is_complete, is_first_start)

    def test_a_register_that_a_restored_store_lacks_is_not_complete(self):
        world = self.start(is_first_start=True)
        copy = self.store.copy()
        self.begin(world)
        self.store.restore(copy)
        world.core.handle_restored_store(1, 2)
        world.pass_time(1)
        self.begin(world)
        self.assertFalse(self.read().is_complete)

    def test_a_register_in_place_of_an_unreadable_one_is_not_complete(self):
        self.store = FakeStore()
        world = self.start(is_first_start=True)
        self.store.write("stream versions", "all", (None, self.store.revision + 1))
        self.begin(world)
        self.assertFalse(self.read().is_complete)

    def test_a_store_that_refuses_writes_delays_one_event_at_most(self):
        self.store.refuses_registers = True
        self.assertLessEqual(self.begin(), 0.1)
        for _ in range(5):
            self.assertEqual(self.begin(), 0)
        self.store.refuses_registers = False
        self.world.pass_time(1)
        self.assertTrue(self.read().is_current("engines", "v1"))

    def test_what_was_read_long_ago_is_read_again(self):
        self.begin()
        self.store.write("stream versions", "all", (TWO.remove("engines", "v9"), 7))
        self.store.records["stream versions"]["all"] = (VersionRegister(), 8)
        self.world.pass_time(60)
        self.begin()
        self.assertTrue(self.read().is_current("engines", "v1"))

    def test_callers_that_wait_longer_lengthen_the_lifetime_before_they_begin(self):
        self.begin()
        self.world.send("resumable", caller_timeout=100, request_id="patient")
        self.world.pass_time(0.1)
        versions = self.world.context.stream_versions
        registering = versions.register("engines", "v1", seconds(100))
        Deferred.fromCoroutine(registering)
        self.world.pass_time(0.2)
        self.assertEqual(self.read().lifetime, seconds(120))


class RegisterPropertyTests(unittest.TestCase):
    @examples(15)
    @given(st.integers(0, 10**6))
    def test_no_stream_is_mixed_whatever_comes_in_whatever_order(self, seed):
        rng = random.Random(seed)
        fleet = EngineFleet(3, versions=("v1",), is_first_start=True)
        fleet.pass_time(2)
        fleet.set_first_start(False)
        traffic = ResumingTraffic(fleet, seed, rng.random() < 0.5)
        listed = ["v1"]
        for number in range(2, 7):
            traffic.run(rng.uniform(0.1, 1))
            fleet.store.refuses_registers = rng.random() < 0.3
            fleet.loses_messages = rng.random() < 0.3
            step = rng.choice(["release", "remove", "restart", "reset", "wait"])
            if step == "release":
                fleet.release_version(f"v{number}", 2)
                listed.append(f"v{number}")
                fleet.pass_time(rng.uniform(0, 1))
            elif step == "remove" and len(listed) > 1:
                fleet.remove_version(listed.pop(0))
            elif step == "restart":
                entries = list(fleet.entries)
                for ip in entries:
                    traffic.kill_entry(ip, comes_back=False)
                fleet.pass_time(rng.uniform(0.1, 2))
                for ip in entries:
                    fleet.start_entry(ip)
                fleet.pass_time(0.1)
            elif step == "reset":
                traffic.reset_connections(rng.choice(list(fleet.entries)))
            else:
                fleet.pass_time(rng.choice([5, 60, 100]))
            traffic.come_back()
        fleet.pass_time(5)
        self.assertEqual(traffic.count_mixed(), 0)


class HolderTests(unittest.TestCase):
    def test_a_side_process_remembers_streams_and_bounds_what_it_is_told(self):
        fleet = EngineFleet(1, versions=("v1", "v2"))
        side = fleet.sides["10.0.0.1"]
        origin = StreamOrigin("engines", "v1")
        keys = make_stream_keys("", "first", "content")
        side.put(keys, origin)
        self.assertEqual(side.find(keys), origin)
        fleet.pass_time(MAX_LIFETIME.total_seconds() + 1)
        side.put(make_stream_keys("", "second", "other"), origin)
        self.assertIsNone(side.find(keys))
        self.assertEqual(len(side), 1)


if __name__ == "__main__":
    unittest.main()
