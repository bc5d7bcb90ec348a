import unittest
from collections import Counter
from unittest.mock import patch

from balsamspoke_standins.stall_report import format_stalls, read_stalls

METRICS = b"""# TYPE balsamspoke_queue_seconds histogram
balsamspoke_queue_seconds_bucket{team="marina",le="0.1"} 3.0
balsamspoke_queue_seconds_bucket{team="marina",le="+Inf"} 5.0
balsamspoke_queue_seconds_count{team="marina"} 5.0
balsamspoke_queue_seconds_sum{team="marina"} 1.0
# TYPE balsamspoke_adapter_load_seconds histogram
balsamspoke_adapter_load_seconds_bucket{le="+Inf"} 4.0
balsamspoke_adapter_load_seconds_count 4.0
balsamspoke_adapter_load_seconds_sum 1.0
"""


class Reply:
    def __enter__(self):
        return self

    def __exit__(self, *_):
        pass

    def read(self):
        return METRICS


class StallReportTest(unittest.TestCase):
    def test_the_metrics_of_all_processes_are_added_up(self):
        with patch("urllib.request.urlopen", lambda url, timeout: Reply()):
            report = read_stalls(["http://a", "http://b"])
        self.assertEqual(report.started, Counter(marina=10))
        self.assertEqual(report.within_bucket, Counter(marina=6))
        self.assertEqual(report.loads, 8)
        self.assertIn(
            "marina                     10                   4", format_stalls(report)
        )
