"""Requests that come again and crash replicas (docs/incidents, issue 28, BUDGET)."""

import random
import unittest

from .engine_fleet import CRASHING_BODY, EngineFleet

# Bounds of the users: seconds after the third crash by a request from which at most
# this many repeats may reach replicas.
STABLE_WINDOW = 3.0
MAX_LATER_ARRIVALS = 3
CRASHES_BEFORE = 3


class RepeatedRequestTests(unittest.TestCase):
    def run_traffic(
        self, fleet, seed, duration=30, route="resumable", rate=40, bad_rate=2
    ):
        """Send sound requests, and one request again and again; return the sinks."""
        rng = random.Random(seed)
        sinks = []
        step = 1 / (rate + bad_rate)
        for number in range(int(duration / step)):
            entry = rng.choice(list(fleet.entries.values()))
            # Parts that other requests have too, and that are answered all the time.
            parts = ["system", f"subject-{rng.randrange(20)}", f"own-{number}"]
            if rng.random() < bad_rate * step:
                parts[1:] = ["subject-1", "own"]
                entry.send(route, parts=parts, body=CRASHING_BODY)
            else:
                sinks.append((fleet.seconds, entry.send(route, parts=parts)[0]))
            fleet.pass_time(step)
        return sinks

    def check(self, fleet, sinks, began, least_served=0.9):
        crashes = [time for time in fleet.crashes if time > began]
        self.assertGreaterEqual(len(crashes), 2)
        last = crashes[:CRASHES_BEFORE][-1]
        later = fleet.find_repeats(CRASHING_BODY, last + STABLE_WINDOW)
        self.assertLessEqual(len(later), MAX_LATER_ARRIVALS)
        sound = [sink for time, sink in sinks if time > last + 2 * STABLE_WINDOW]
        served = [sink for sink in sound if sink.status == 200 and sink.is_finished]
        self.assertGreater(len(served), least_served * len(sound))

    def test_a_request_that_crashes_engines_is_not_sent_again_and_again(self):
        for seed in range(3):
            with self.subTest(seed=seed):
                fleet = EngineFleet()
                self.run_traffic(fleet, seed, duration=3, bad_rate=0)
                began = fleet.seconds
                sinks = self.run_traffic(fleet, seed)
                fleet.pass_time(6)
                self.check(fleet, sinks, began)

    def test_a_request_that_crashes_a_plain_service_is_not_sent_again_and_again(self):
        for route in ("safe", "unsafe"):
            with self.subTest(route=route):
                fleet = EngineFleet(engines=4, service="plain")
                self.run_traffic(fleet, 1, duration=3, route=route, bad_rate=0)
                began = fleet.seconds
                sinks = self.run_traffic(fleet, 2, route=route)
                fleet.pass_time(6)
                self.check(fleet, sinks, began)

    def test_processes_that_start_while_a_request_crashes_engines_refuse_it(self):
        for seed in range(3):
            with self.subTest(seed=seed):
                fleet = EngineFleet()
                sinks = self.run_traffic(fleet, seed)
                fleet.pass_time(6)
                self.check(fleet, sinks, 0)

    def test_processes_that_all_start_again_still_refuse_the_request(self):
        fleet = EngineFleet()
        self.run_traffic(fleet, 4, duration=3, bad_rate=0)
        self.run_traffic(fleet, 4, duration=45)
        before = len(fleet.crashes)
        for ip in list(fleet.entries):
            fleet.start_entry(ip)
        fleet.pass_time(1)
        self.run_traffic(fleet, 5, duration=20)
        self.assertEqual(len(fleet.crashes), before)


if __name__ == "__main__":
    unittest.main()
