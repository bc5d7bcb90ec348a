import random
import unittest

import orjson
from balsamspoke_standins.engine import EngineResource
from balsamspoke_standins.load_plan import (
    BookingCall,
    GenerationCall,
    LoadPlan,
    LoadPlanError,
    LoadSettings,
    TeamPlan,
    read_teams,
)
from balsamspoke_standins.load_report import format_report, make_report
from balsamspoke_standins.load_run import LoadRun
from balsamspoke_standins.service import ServiceResource

from .memory_network import MemoryNetwork

ENGINE_PORT, SERVICE_PORT = 1, 2


class LoadPlanTests(unittest.TestCase):
    def test_calls_follow_popularity_and_shares(self):
        teams = (
            TeamPlan("large", "k1", tuple(f"a{n}:1" for n in range(100)), "boats", 3.0),
            TeamPlan("small", "k2", ("b:1",)),
        )
        settings = LoadSettings(booking_ratio=0.2)
        plan = LoadPlan(teams, settings, random.Random(1))
        calls = [plan.draw_call() for _ in range(4000)]
        large = [call for call in calls if call.team.name == "large"]
        generations = [call for call in large if isinstance(call, GenerationCall)]
        first = [c for c in generations if c.document["model"] == "a0:1"]
        tenth = [c for c in generations if c.document["model"] == "a9:1"]
        self.assertAlmostEqual(len(large) / len(calls), 0.75, delta=0.03)
        self.assertAlmostEqual(1 - len(generations) / len(large), 0.2, delta=0.03)
        self.assertAlmostEqual(len(tenth) / len(first), 0.1, delta=0.05)
        references = [c.reference for c in large if isinstance(c, BookingCall)]
        booked = [reference for reference in references if reference]
        self.assertEqual(len(booked), len(set(booked)))

    def test_invalid_plan_is_refused(self):
        for content in (b"", b"[]", b'{"teams": [{"name": "a"}]}'):
            with self.assertRaises(LoadPlanError):
                read_teams(content)


class LoadRunTests(unittest.TestCase):
    """The load tool directly against an engine, without entry and side processes."""

    def run_load(self, change=lambda resource: None, model="base", seconds=8):
        network = MemoryNetwork()
        resource = EngineResource(network.clock, "base")
        client = network.add(ENGINE_PORT, resource)
        teams = (TeamPlan("anglers", "", (model,)),)
        settings = LoadSettings(
            rate=20, duration=2, timeout=5, booking_ratio=0, should_verify=True
        )
        run = LoadRun(network.clock, [client], LoadPlan(teams, settings))
        run.start()
        network.run(1)
        change(resource)
        network.run(seconds)
        return make_report(run.tallies)["anglers"]

    def test_correct_responses_are_counted_as_answered(self):
        report = self.run_load()
        self.assertGreater(report["requests"], 20)
        self.assertEqual(report["answered"], report["requests"])
        self.assertGreaterEqual(report["first_token_p50_ms"], 36)

    def test_refused_requests_are_counted(self):
        report = self.run_load(model="unknown:1")
        self.assertEqual(sum(report["refused"].values()), report["requests"])

    def test_broken_streams_are_counted(self):
        report = self.run_load(lambda resource: resource.batch.restart())
        broken = sum(report["broken"].values())
        self.assertGreater(broken, 0)
        self.assertEqual(report["answered"] + broken, report["requests"])

    def test_wrong_text_is_counted(self):
        def mix_up(resource):
            for stream in resource.batch.running.values():
                stream._chunk_prefix = stream._chunk_prefix.replace(b"base", b"vase")

        self.assertGreater(self.run_load(mix_up)["wrong"], 0)

    def test_short_responses_are_counted(self):
        def shorten(resource):
            for stream in resource.batch.running.values():
                stream._end_offset = stream._offset + 1

        self.assertGreater(self.run_load(shorten)["short"], 0)


class BookingRunTests(unittest.TestCase):
    def test_bookings_carry_a_reference_and_are_repeated_with_it(self):
        network = MemoryNetwork()
        resource = ServiceResource(network.clock)
        # There is no entry process, so the service handles its routes itself.
        resource.routes["POST", "services"] = lambda request, name, what: (
            resource.routes["POST", what](request)
        )
        resource.routes["GET", "services"] = lambda request, name, what: (
            resource.routes["GET", what](request)
        )
        resource.settings.lose_answers = True
        client = network.add(SERVICE_PORT, resource)
        teams = (TeamPlan("anglers", "secret", (), "boats"),)
        settings = LoadSettings(rate=10, duration=1, timeout=2)
        run = LoadRun(network.clock, [client], LoadPlan(teams, settings))
        run.start()
        network.run(0.8)
        resource.settings.lose_answers = False
        network.run(4)
        report = make_report(run.tallies)["anglers"]
        self.assertGreater(report["repeats"], 0)
        self.assertEqual(report["answered"], report["requests"])
        sent = [call for call in resource.calls if call["method"] == "POST"]
        references = {orjson.loads(call["body"])["reference"] for call in sent}
        self.assertEqual(len(references), report["bookings"])
        for call in sent:
            headers = dict((name.lower(), value) for name, value in call["headers"])
            reference = orjson.loads(call["body"])["reference"]
            self.assertEqual(headers["idempotency-key"], reference)
        self.assertIn("anglers", format_report(make_report(run.tallies)))
