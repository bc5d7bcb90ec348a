import unittest

from balsamspoke_ctl import ExitCode

from .harness import CtlHarness

PAGE = """\
# TYPE balsamspoke_team_tokens_left gauge
balsamspoke_team_tokens_left{team="hotel"} 120.0
balsamspoke_team_tokens_left{team="port"} 3.0
# TYPE balsamspoke_team_rate gauge
balsamspoke_team_rate{team="hotel"} 50.0
balsamspoke_team_rate{team="port"} 5.0
# TYPE balsamspoke_team_admitted_tokens gauge
balsamspoke_team_admitted_tokens{team="hotel"} 900.0
balsamspoke_team_admitted_tokens{team="port"} 9.0
"""


class ShareTests(unittest.TestCase):
    def setUp(self):
        self.harness = CtlHarness(self)
        self.harness.metrics.pages["10.0.0.1:9464"] = PAGE

    def show_shares(self, team, *addresses):
        return self.harness.run("status", "--team", team, "--metrics", *addresses)

    def test_shows_a_teams_share_at_each_process(self):
        code, results, _ = self.show_shares("hotel", "10.0.0.1:9464")
        self.assertEqual(code, ExitCode.OK)
        row = results.splitlines()[1].split()
        self.assertEqual(row, ["10.0.0.1:9464", "120.0", "50.0", "900.0"])

    def test_names_the_process_that_does_not_answer(self):
        code, results, problems = self.show_shares(
            "hotel", "10.0.0.2:9464", "10.0.0.1:9464"
        )
        self.assertEqual(code, ExitCode.UNAVAILABLE)
        self.assertIn("10.0.0.2:9464", problems)
        self.assertIn("120.0", results)

    def test_metrics_require_a_team(self):
        code, _, problems = self.harness.run("status", "--metrics", "10.0.0.1:9464")
        self.assertEqual(code, ExitCode.USAGE)
        self.assertIn("--team", problems)

    def test_unknown_team_is_reported(self):
        code, _, problems = self.show_shares("harbour", "10.0.0.1:9464")
        self.assertEqual(code, ExitCode.NOT_FOUND)
        self.assertIn("harbour", problems)


if __name__ == "__main__":
    unittest.main()
