"""Retries of all entry processes together, whoever ends (docs/incidents, issue 43)."""

import random
import unittest

from balsamspoke_fakes.properties import examples
from hypothesis import given
from hypothesis import strategies as st

from .retry_fleet import LOST, UNREACHABLE, RetryFleet
from .scripted_replicas import Answer

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


class UnreachableReplicasTests(unittest.TestCase):
    def test_replicas_that_cannot_be_reached_do_not_raise_the_budget(self):
        for size in SIZES:
            with self.subTest(processes=size):
                fleet = RetryFleet(size, replicas=8)
                fleet.fail_replicas(FAILED)
                fleet.fail_replicas(Answer(error=UNREACHABLE), 6)
                fleet.send_to_all(max(3, 600 // size))
                self.assertIsNone(fleet.find_overrun())


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
