import unittest
from datetime import timedelta

from balsamspoke_daemon.metrics import MetricsObserver
from balsamspoke_node import RequestEnded, StopStarted, TokensGap
from balsamspoke_replica import LoadEnded, RequestStarted
from balsamspoke_transport.meters import read_metrics
from balsamspoke_transport.team_labels import MAXIMUM_TEAM_LABELS, OTHER_TEAMS
from balsamspoke_types.identifiers import AdapterRef, AttemptId, ProcessId
from balsamspoke_types.objects import PriorityClass
from balsamspoke_types.outcomes import Cause, Ran, Refusal

SECOND = timedelta(seconds=1)


def end_request(team, refusal=None):
    return RequestEnded(
        "r", team, "a:1", PriorityClass.BATCH, refusal, SECOND, SECOND / 2, 7
    )


class MetricsTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.observer = MetricsObserver()

    def assert_metric(self, *parts):
        lines = read_metrics().decode().splitlines()
        matching = [line for line in lines if all(part in line for part in parts)]
        self.assertTrue(matching, parts)

    def test_events_are_recorded_by_team_and_class(self):
        attempt = AttemptId(ProcessId("vm", 1), 1)
        refusal = Refusal(Cause.OVER_LIMIT, Ran.NOT_RUN, "over")
        for event in [
            end_request("marina"),
            end_request("marina", refusal),
            TokensGap("marina", SECOND / 24),
            RequestStarted(attempt, "marina", SECOND),
            LoadEnded(AdapterRef("a", 1), SECOND / 4),
            StopStarted(),
        ]:
            self.observer.observe(event)
        for name in ("first_token_seconds", "request_seconds", "generated_tokens"):
            name = f"balsamspoke_{name}_count"
            self.assert_metric(name, 'team="marina"', 'class="batch"')
        self.assert_metric("balsamspoke_between_tokens_seconds_bucket", 'le="0.042"')
        self.assert_metric("balsamspoke_queue_seconds_count", 'team="marina"')
        self.assert_metric("balsamspoke_adapter_load_seconds_count")
        self.assert_metric("balsamspoke_refusals_total", 'cause="team_over_limit"')
        self.assert_metric("balsamspoke_events_total", 'event="StopStarted"')

    def test_teams_over_the_label_limit_share_a_label(self):
        for number in range(MAXIMUM_TEAM_LABELS + 50):
            self.observer.observe(TokensGap(f"team-{number}", SECOND))
        text = read_metrics().decode()
        self.assertIn(f'team="{OTHER_TEAMS}"', text)
        self.assertNotIn(f'team="team-{MAXIMUM_TEAM_LABELS + 10}"', text)
