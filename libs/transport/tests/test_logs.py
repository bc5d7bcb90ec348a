import dataclasses
import os
import time
import unittest
from datetime import timedelta
from pathlib import Path

import orjson
from balsamspoke_fakes import VirtualClock, VirtualTime
from balsamspoke_gateway import observing
from balsamspoke_gateway.observing import RequestEnded
from balsamspoke_transport.logs import (
    BURST_LINES,
    MAX_GROUPED_REQUESTS,
    LineWriter,
    LogObserver,
    set_up_logs,
)

PAGE = Path(__file__).parents[3] / "docs/reference/gateway-logs.md"


def make_request_ended(number, outcome="NoReplica", attempts=0):
    return RequestEnded(
        f"id-{number}",
        "r",
        "t",
        outcome,
        "",
        503,
        attempts,
        7,
        None,
        timedelta(seconds=1),
    )


class LogTests(unittest.TestCase):
    def setUp(self):
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        os.set_blocking(reader, False)
        self.reader = reader
        self.writer = set_up_logs("vm-1", writer)
        self.time = VirtualTime()
        self.observer = LogObserver(VirtualClock(self.time))

    def read_lines(self):
        try:
            data = os.read(self.reader, 1_000_000)
        except BlockingIOError:
            return []
        return [orjson.loads(line) for line in data.splitlines()]

    def test_a_refused_request_is_logged_with_its_id(self):
        self.observer.observe(make_request_ended(1))
        (line,) = self.read_lines()
        self.assertEqual(
            (line["vm"], line["event"], line["request"]),
            ("vm-1", "RequestEnded", "id-1"),
        )
        self.assertEqual(line["configuration"], 7)

    def test_a_first_attempt_answer_is_not_logged(self):
        self.observer.observe(make_request_ended(1, "answered"))
        self.assertEqual(self.read_lines(), [])

    def test_an_answer_after_a_retry_is_logged(self):
        self.observer.observe(make_request_ended(1, "answered", attempts=1))
        self.assertEqual(len(self.read_lines()), 1)

    def test_lines_of_a_flood_are_limited_and_counted(self):
        flood = BURST_LINES + MAX_GROUPED_REQUESTS + 200
        for number in range(flood):
            self.observer.observe(make_request_ended(number))
        self.assertLessEqual(len(self.read_lines()), BURST_LINES + 1)
        self.time.advance(timedelta(seconds=1))
        (line,) = self.read_lines()
        self.assertEqual(line["left_out"], 200)
        self.assertEqual(self.observer.left_out, 200)

    def test_each_request_of_a_flood_is_logged_with_its_id(self):
        flood = BURST_LINES + 500
        lines = []
        for number in range(flood):
            self.observer.observe(make_request_ended(number, f"Outcome{number % 2}"))
            lines += self.read_lines()
        self.time.advance(timedelta(seconds=1))
        grouped = self.read_lines()
        self.assertEqual([line["event"] for line in grouped], ["RequestsEnded"] * 2)
        found = {line["request"] for line in lines}
        found.update(name for line in grouped for name in line["requests"])
        self.assertEqual(found, {f"id-{number}" for number in range(flood)})

    def test_a_reader_that_stops_reading_does_not_block_the_writer(self):
        begin = time.monotonic()
        writer = LineWriter(os.dup(self.get_writer_descriptor()))
        for _ in range(20_000):
            writer("x" * 100 + "\n")
        self.assertLess(time.monotonic() - begin, 10)
        self.assertGreater(writer.dropped_lines, 0)
        data = os.read(self.reader, 10_000_000)
        self.assertEqual({len(line) for line in data.splitlines()[:-1]}, {100})

    def get_writer_descriptor(self):
        return self.writer.descriptor

    def test_the_reference_page_names_every_event_and_field(self):
        page = PAGE.read_text()
        for name, kind in vars(observing).items():
            if dataclasses.is_dataclass(kind):
                self.assertIn(f"`{name}`", page)
                for field in dataclasses.fields(kind):
                    self.assertIn(f"`{field.name}`", page, f"{name}.{field.name}")


if __name__ == "__main__":
    unittest.main()
