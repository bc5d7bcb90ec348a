import unittest

import orjson
from balsamspoke_ctl import ExitCode

from .harness import CtlHarness


def make_line(time, vm, event, **fields):
    return orjson.dumps({"time": time, "vm": vm, "event": event, **fields}).decode()


LINES = [
    "text that is no JSON",
    make_line("01", "entry-1", "ConfigurationAdopted", version=7),
    make_line("02", "entry-2", "ConfigurationAdopted", version=8),
    "  5.123 entry-1 "
    + make_line("03", "entry-1", "ReplicaChanged", replica="i-1", change="new"),
    make_line("04", "entry-1", "DependencyLost", name="store", reason="silent"),
    make_line("05", "entry-1", "AttemptEnded", request="r1", replica="i-1"),
    make_line("06", "entry-1", "RequestEnded", request="r1", status=502),
    make_line("07", "entry-1", "RequestEnded", request="r2", status=503),
    make_line("08", "entry-1", "RequestsEnded", requests=["r3", "r4"], status=429),
    '{"time": "09", "vm": "cut off at the end of th',
]


class TraceTests(unittest.TestCase):
    def setUp(self):
        self.harness = CtlHarness(self)
        self.path = self.harness.write("\n".join(LINES), "entry.log")

    def test_shows_state_events_before_attempts(self):
        code, documents = self.harness.run_json("trace", "r1", self.path)
        self.assertEqual(code, ExitCode.OK)
        events = [each["event"] for each in documents]
        self.assertEqual(events[-2:], ["AttemptEnded", "RequestEnded"])
        self.assertIn("DependencyLost", events)
        self.assertEqual({each["vm"] for each in documents}, {"entry-1"})

    def test_always_shows_events_of_the_requests_replicas(self):
        _, documents = self.harness.run_json("trace", "r1", self.path, "--beliefs", "0")
        events = [each["event"] for each in documents]
        self.assertEqual(events, ["ReplicaChanged", "AttemptEnded", "RequestEnded"])

    def test_finds_a_request_that_shares_a_line(self):
        _, documents = self.harness.run_json("trace", "r4", self.path, "--beliefs", "0")
        self.assertEqual([each["status"] for each in documents], [429])
        _, text, _ = self.harness.run("trace", "r4", self.path, "--beliefs", "0")
        self.assertIn("requests=2 alike", text)

    def test_unknown_request_is_reported(self):
        code, _, problems = self.harness.run("trace", "r9", self.path)
        self.assertEqual(code, ExitCode.NOT_FOUND)
        self.assertIn("r9", problems)

    def test_missing_log_file_is_reported(self):
        code, _, problems = self.harness.run("trace", "r1", "nowhere.log")
        self.assertEqual(code, ExitCode.NOT_FOUND)
        self.assertIn("nowhere.log: No such file", problems)


if __name__ == "__main__":
    unittest.main()
