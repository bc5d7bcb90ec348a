import tempfile
import unittest
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path

import orjson
from balsamspoke_daemon.logs import LogObserver, set_up_logs
from balsamspoke_fakes import VirtualClock, VirtualTime
from balsamspoke_node import RequestEnded
from balsamspoke_types.identifiers import ProcessId
from balsamspoke_types.keys import format_key
from balsamspoke_types.objects import PriorityClass
from balsamspoke_types.outcomes import Cause, Ran, Refusal
from loguru import logger

KEY = format_key("k" * 43)


@dataclass(frozen=True)
class LogSettings:
    log_file: Path
    log_level: str = "DEBUG"


class LogsTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "log"
        set_up_logs(LogSettings(self.path), ProcessId("vm", 1))
        self.addCleanup(logger.remove)

    def read_lines(self):
        return [orjson.loads(line) for line in self.path.read_text().splitlines()]

    def test_keys_are_not_logged(self):
        logger.bind(found=f"Bearer {KEY}").info("got {}", KEY)
        try:
            raise ValueError(KEY)
        except ValueError:
            logger.exception("failed")
        got, failed = self.read_lines()
        self.assertEqual(got["message"], "got [key]")
        self.assertIn("ValueError", failed["traceback"])
        self.assertNotIn("kkkkkkkkkkkkkkkk", self.path.read_text())

    def test_repeated_refusals_are_rate_limited(self):
        time = VirtualTime()
        observer = LogObserver(VirtualClock(time))
        refusal = Refusal(Cause.OVER_LIMIT, Ran.NOT_RUN, "over")
        ended = RequestEnded(
            "r", "team", "a:1", PriorityClass.BATCH, refusal, timedelta(0)
        )
        for _ in range(50):
            observer.observe(ended)
        self.assertEqual(len(self.read_lines()), 1)
        time.advance(timedelta(seconds=11))
        observer.observe(ended)
        self.assertEqual(len(self.read_lines()), 2)
        self.assertEqual(self.read_lines()[1]["suppressed"], 49)
