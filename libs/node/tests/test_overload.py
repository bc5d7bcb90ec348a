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

    def test_queued_requests_that_are_given_up_are_known_not_to_have_run(self):
        self.check(self.flood(1, engines=1, requests=60))

    def test_also_with_other_replicas_to_try(self):
        self.check(self.flood(2, engines=2, requests=90))

    def test_refusals_say_when_to_come_back(self):
        fleet = self.flood(1, engines=1, requests=60)
        for sent in fleet.sent:
            if sent.responder.code:
                self.assertIn("retry-after", sent.responder.headers)
