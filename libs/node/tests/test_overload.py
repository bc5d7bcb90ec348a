import unittest

from .checkers import check_invariants
from .fleet import Fleet

STREAM_TOKENS = 150


class OverloadTest(unittest.TestCase):
    def flood(self, seed, engines, requests):
        fleet = Fleet(seed, engines=engines, entries=2)
        fleet.settle()
        for number in range(requests):
            entry = fleet.entries()[number % 2]
            fleet.complete(entry, f"adapter-{2 * (number % 6)}", tokens=STREAM_TOKENS)
        fleet.advance(40)
        return fleet

    def check(self, fleet):
        """Check that unanswered requests are reported not-run, as nothing is lost."""
        refused = [
            (sent.responder.code, sent.responder.outcome)
            for sent in fleet.sent
            if not sent.responder.is_whole
        ]
        self.assertTrue(refused)
        allowed = {("overloaded", "not-run"), ("deadline_exceeded", "not-run")}
        self.assertLessEqual(set(refused), allowed)
        self.assertEqual(check_invariants(fleet), [])

    def test_requests_refused_with_one_engine_are_reported_not_run(self):
        self.check(self.flood(1, engines=1, requests=60))

    def test_requests_refused_with_two_engines_are_reported_not_run(self):
        self.check(self.flood(2, engines=2, requests=90))

    def test_refusals_have_a_retry_after_header(self):
        fleet = self.flood(1, engines=1, requests=60)
        for sent in fleet.sent:
            if sent.responder.code:
                self.assertIn("retry-after", sent.responder.headers)
