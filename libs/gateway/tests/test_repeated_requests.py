"""Requests that come again and crash replicas (docs/incidents, issue 28, BUDGET)."""

import random
import unittest
from dataclasses import replace
from datetime import timedelta

from balsamspoke_gateway.quarantine import (
    QUARANTINE_TIME,
    UNCERTAIN_TIME,
    CrashReport,
    CrashSuspect,
    PromptQuarantine,
    make_fingerprint,
)
from balsamspoke_gateway.quarantine.repeats import (
    MAX_REPEAT_QUARANTINE_TIME,
    MAX_REQUESTS,
    RepeatEvidence,
)
from balsamspoke_gateway.requests import CallerRequest

from .engine_fleet import CRASHING_BODY, EngineFleet
from .world import seconds

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

    def test_also_if_the_entries_of_crashed_replicas_are_gone_at_once(self):
        # Load pattern: the request comes every few seconds; each process hears of the
        # removal before the connections of the replica break.
        for service, route in (("engines", "resumable"), ("plain", "unsafe")):
            with self.subTest(service=service):
                fleet = EngineFleet(engines=4, service=service)
                fleet.drops_entries_at_once = True
                traffic = {"route": route, "rate": 10}
                self.run_traffic(fleet, 1, duration=3, bad_rate=0, **traffic)
                began = fleet.seconds
                sinks = self.run_traffic(fleet, 2, 60, bad_rate=0.3, **traffic)
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

    def test_processes_that_hear_nothing_of_one_another_refuse_the_request(self):
        for service, route in (("engines", "resumable"), ("plain", "safe")):
            with self.subTest(service=service):
                fleet = EngineFleet(engines=4, service=service)
                self.run_traffic(fleet, 11, duration=3, route=route, bad_rate=0)
                began = fleet.seconds
                fleet.loses_messages = True
                sinks = self.run_traffic(fleet, 11, route=route)
                fleet.pass_time(6)
                self.check(fleet, sinks, began)

    def test_a_crash_is_told_to_each_peer_in_one_message(self):
        fleet = EngineFleet()
        # By then the processes know one another.
        fleet.pass_time(3)
        first, second, *_ = fleet.entries.values()
        received = []
        receive = second.core.receive_message
        second.core.receive_message = lambda ip, message: (
            received.append(message),
            receive(ip, message),
        )
        for number in range(30):
            first.send("stream", parts=["system", f"rare-{number}", "own"])
        fleet.pass_time(0.05)
        for engine in fleet.engines.values():
            engine.crash()
        fleet.pass_time(1)
        reports = [each for each in received if isinstance(each, CrashReport)]
        self.assertLessEqual(len(reports), len(fleet.engines))
        self.assertEqual(sum(len(each.suspects) for each in reports), 30)


class DecisionTests(unittest.TestCase):
    """Which requests are refused after which crashes."""

    FINGERPRINT = "request:1"

    def setUp(self):
        self.quarantine = PromptQuarantine()
        self.now = timedelta(hours=1)
        self.crashes = 0

    def crash(self, *fingerprints):
        """Record a crash with requests that have no suspected prompt part."""
        self.crashes += 1
        suspects = tuple(CrashSuspect(each, ()) for each in fingerprints)
        report = CrashReport(f"replica-{self.crashes}", 1, suspects)
        return self.quarantine.record_crashes([report], self.now)

    def find_time_left(self, fingerprint=FINGERPRINT):
        return self.quarantine.find_time_left([fingerprint], self.now)

    def test_two_crashes_refuse_a_request_for_a_short_time(self):
        self.crash(self.FINGERPRINT, "request:2")
        self.assertIsNone(self.find_time_left())
        self.crash(self.FINGERPRINT, "request:3")
        self.assertEqual(self.find_time_left(), UNCERTAIN_TIME)
        self.assertIsNone(self.find_time_left("request:2"))

    def test_each_crash_from_the_third_on_refuses_it_for_longer(self):
        for _ in range(3):
            self.crash(self.FINGERPRINT)
        time_left = self.find_time_left()
        self.assertEqual(time_left, QUARANTINE_TIME)
        for _ in range(6):
            self.now += time_left
            self.assertIsNone(self.find_time_left())
            self.crash(self.FINGERPRINT)
            previous, time_left = time_left, self.find_time_left()
            self.assertGreaterEqual(time_left, previous)
        self.assertEqual(time_left, MAX_REPEAT_QUARANTINE_TIME)

    def test_one_crash_that_several_processes_report_counts_once(self):
        suspects = (CrashSuspect(self.FINGERPRINT, ()),)
        for _ in range(4):
            self.quarantine.record_crashes([CrashReport("a", 1, suspects)], self.now)
        self.assertIsNone(self.find_time_left())

    def test_a_request_that_was_answered_lately_is_not_suspected(self):
        self.quarantine.record_answered([self.FINGERPRINT], self.now)
        for _ in range(4):
            self.crash(self.FINGERPRINT)
        self.assertIsNone(self.find_time_left())

    def test_its_other_parts_are_suspected_all_the_same(self):
        self.quarantine.record_prompt(["sound"] * 40)
        self.quarantine.record_answered([self.FINGERPRINT], self.now)
        for replica in "abcd":
            suspects = (CrashSuspect(self.FINGERPRINT, ("rare",)),)
            report = CrashReport(replica, 1, suspects)
            self.quarantine.record_crashes([report], self.now)
        self.assertIsNone(self.find_time_left())

    def test_an_answer_ends_the_suspicion_and_the_quarantine(self):
        self.crash(self.FINGERPRINT)
        self.crash(self.FINGERPRINT)
        self.assertTrue(self.quarantine.record_answered([self.FINGERPRINT], self.now))
        self.assertIsNone(self.find_time_left())
        self.assertFalse(self.quarantine.is_repeated(self.FINGERPRINT))

    def test_suspicions_end_and_their_number_is_bounded(self):
        evidence = RepeatEvidence()
        evidence.add(("a", 1), ["request:old"], self.now)
        later = self.now + seconds(301)
        many = [f"request:{number}" for number in range(MAX_REQUESTS + 10)]
        evidence.add(("b", 1), many, later)
        evidence.add(("c", 1), ["request:new"], later)
        self.assertFalse(evidence.is_suspected("request:old"))
        self.assertFalse(evidence.is_suspected(many[0]))
        self.assertTrue(evidence.is_suspected("request:new"))


class FingerprintTests(unittest.TestCase):
    REQUEST = CallerRequest(
        "id-1", b"POST", b"/p/x?q=1", "host", "/p/x", (), b"body", "key"
    )

    def test_requests_are_the_same_whatever_their_ids_and_headers(self):
        other = replace(
            self.REQUEST, id="id-2", headers=((b"a", b"b"),), key="another key"
        )
        self.assertEqual(
            make_fingerprint(self.REQUEST, "team"), make_fingerprint(other, "team")
        )

    def test_requests_differ_by_each_part_of_their_content(self):
        others = [
            replace(self.REQUEST, method=b"GET"),
            replace(self.REQUEST, host="another"),
            replace(self.REQUEST, target=b"/p/x?q=2"),
            replace(self.REQUEST, body=b"bod"),
            replace(self.REQUEST, target=b"/p/x?q=1b", body=b"ody"),
        ]
        fingerprints = {make_fingerprint(each, "team") for each in others}
        fingerprints.add(make_fingerprint(self.REQUEST, "team"))
        fingerprints.add(make_fingerprint(self.REQUEST, "other"))
        shifted = replace(self.REQUEST, body=b"ody")
        fingerprints.add(make_fingerprint(shifted, "teamb"))
        self.assertEqual(len(fingerprints), len(others) + 3)


if __name__ == "__main__":
    unittest.main()
