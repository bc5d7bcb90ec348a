"""Retries of all entry processes together, whoever ends (docs/incidents, issue 43)."""

import random
import unittest
from dataclasses import replace
from unittest import mock

from balsamspoke_fakes import VirtualTime
from balsamspoke_fakes.properties import examples
from balsamspoke_gateway.peers.standing import Standing
from balsamspoke_types.exceptions import StoreUnavailable
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.defer import fail

from .entry_world import EntryWorld, FakeRegistry, FakeStore
from .retry_fleet import EXTRA, LOST, UNREACHABLE, RetryFleet
from .scripted_replicas import Answer
from .world import World, make_record

REFUSED = Answer(503, has_run=False)
FAILED = Answer(error=LOST)
SIZES = (1, 2, 10, 60, 340)


class RestartTests(unittest.TestCase):
    def check(self, fleet):
        self.assertIsNone(fleet.find_overrun())

    def test_processes_that_start_anew_do_not_renew_the_budget(self):
        for size in SIZES:
            with self.subTest(processes=size):
                fleet = RetryFleet(size)
                fleet.fail_replicas(REFUSED)
                for _ in range(4):
                    fleet.send_to_all(max(2, 200 // size))
                    fleet.pass_time(2.5)
                    fleet.restart_all()
                self.check(fleet)

    def test_processes_killed_in_turn_do_not_renew_the_budget(self):
        for size in SIZES[1:]:
            with self.subTest(processes=size):
                rng = random.Random(size)
                fleet = RetryFleet(size)
                fleet.fail_replicas(REFUSED)
                for _ in range(40):
                    fleet.send_to_all(max(1, 20 // size))
                    for ip in rng.sample(fleet.ips, max(1, size // 8)):
                        fleet.start(ip)
                    fleet.pass_time(0.5)
                self.check(fleet)


class UnknownPeersTests(unittest.TestCase):
    def test_processes_that_do_not_know_their_peers_do_not_each_take_all(self):
        for size in SIZES:
            for age in (0.0, 60.0):
                with self.subTest(processes=size, age=age):
                    fleet = RetryFleet(size, age=age, knows_peers=False)
                    fleet.fail_replicas(FAILED)
                    fleet.send_to_all(max(2, 300 // size))
                    self.assertIsNone(fleet.find_overrun())


class StandingTests(unittest.TestCase):
    """What processes that follow a store know of their place among all."""

    def start(self, store, *ips):
        time = VirtualTime()
        worlds = [EntryWorld(store, time=time, ip=ip) for ip in ips]
        for world in worlds:
            world.configure(1)
            world.core.start()
        return worlds

    def list_standings(self, worlds):
        return [each.context.standing for each in worlds]

    def sum_shares(self, worlds):
        now = worlds[0].clock.monotonic()
        return sum(each.context.compute_retry_share(now).extra for each in worlds)

    def test_processes_that_start_together_have_one_budget_at_any_time(self):
        store = FakeStore()
        worlds = self.start(store, *(f"10.0.1.{number}" for number in range(1, 41)))
        for _ in range(40):
            self.assertLessEqual(self.sum_shares(worlds), EXTRA)
            worlds[0].pass_time(0.3)
        self.assertEqual(set(self.list_standings(worlds)), {Standing(40, True, False)})
        self.assertGreater(self.sum_shares(worlds), 0.5 * EXTRA)

    def test_one_that_starts_at_a_listed_address_may_follow_another(self):
        store = FakeStore()
        self.start(store, "10.0.1.1", "10.0.1.2")
        (again,) = self.start(store, "10.0.1.1")
        self.assertEqual(again.context.standing, Standing(2, True, True))

    def test_without_the_list_a_process_has_no_part_of_the_extra(self):
        store = FakeStore()
        store.silent_kinds.add("entries")
        worlds = self.start(store, "10.0.1.1")
        worlds[0].pass_time(60)
        self.assertEqual(worlds[0].context.standing, Standing())
        self.assertEqual(self.sum_shares(worlds), 0)

    def test_one_that_cannot_add_itself_may_follow_another(self):
        store = FakeStore()
        with mock.patch.object(FakeRegistry, "register") as register:
            register.side_effect = lambda: fail(StoreUnavailable("no answer"))
            (world,) = self.start(store, "10.0.1.1")
            world.pass_time(5)
            self.assertEqual(world.context.standing, Standing(1, False, True))
        world.pass_time(1)
        self.assertEqual(world.context.standing, Standing(1, False, False))
        world.pass_time(5)
        self.assertEqual(world.context.standing, Standing(1, True, False))


class UnreachableReplicasTests(unittest.TestCase):
    def test_replicas_that_cannot_be_reached_do_not_raise_the_budget(self):
        for size in SIZES:
            with self.subTest(processes=size):
                fleet = RetryFleet(size, replicas=8)
                fleet.fail_replicas(FAILED)
                fleet.fail_replicas(Answer(error=UNREACHABLE), 6)
                fleet.send_to_all(max(3, 600 // size))
                self.assertIsNone(fleet.find_overrun())

    def test_a_retry_that_reaches_no_replica_is_not_spent(self):
        world = World()
        # The budget has one retry.
        world.context.settings = replace(world.context.settings, retry_extra=2.0)
        names = "abcdefgh"
        world.add(*(make_record(each, number=n) for n, each in enumerate(names, 1)))
        world.client.script("a", FAILED)
        for name in "bcdefg":
            world.client.script(name, Answer(error=UNREACHABLE))
        sink, _ = world.send("safe")
        self.assertEqual([each for each, _ in world.client.sent], list(names))
        self.assertEqual(sink.status, 200)


class SchedulesTests(unittest.TestCase):
    @examples(25)
    @given(st.integers(1, 40), st.randoms(use_true_random=False))
    def test_any_series_of_loads_failures_and_kills_keeps_the_budget(self, size, rng):
        fleet = RetryFleet(size, replicas=6, age=rng.choice([0.0, 5.0, 60.0]))
        for _ in range(30):
            fleet.answers.clear()
            count = rng.choice([0, 3, 5, 6])
            fleet.fail_replicas(rng.choice([REFUSED, FAILED]), count)
            fleet.fail_replicas(Answer(error=UNREACHABLE), rng.choice([0, 0, 2, 4]))
            fleet.send_to_all(rng.choice([0, 1, 1, 3]))
            if rng.random() < 0.3:
                for ip in rng.sample(fleet.ips, rng.randint(1, size)):
                    fleet.start(ip)
            fleet.pass_time(rng.choice([0.1, 0.5, 1.0, 2.0]))
        self.assertIsNone(fleet.find_overrun())


if __name__ == "__main__":
    unittest.main()
