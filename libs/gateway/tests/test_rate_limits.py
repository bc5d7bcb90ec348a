import unittest
from dataclasses import replace

from balsamspoke_gateway.observing import RateLimitLifted, RateLimitNamed
from balsamspoke_gateway.rate_limiting import RateLimitNotice
from balsamspoke_gateway.rate_limiting.limits import MIN_RATE, ReplicaRateLimits

from .scripted_replicas import Answer
from .world import World, make_record, seconds


class RateLimitTests(unittest.TestCase):
    def setUp(self):
        self.world = World()
        self.record = make_record("a")
        self.world.add(self.record)
        self.limits = self.world.context.fleet.rate_limits

    def list_events(self, kind):
        return [each for each in self.world.observer.events if isinstance(each, kind)]

    def test_a_limit_is_known_and_logged_once(self):
        for _ in range(2):
            self.world.client.script("a", Answer(rate_limit=3.5))
            self.world.send("safe")
            self.world.pass_time(5)
        self.assertEqual(self.limits.find_rate(self.record), 3.5)
        named = RateLimitNamed("a", 3.5, "it said so in an answer")
        self.assertEqual(self.list_events(RateLimitNamed), [named])

    def test_an_answer_without_a_limit_lifts_it(self):
        self.world.client.script("a", Answer(rate_limit=3.5), Answer())
        self.world.send("safe")
        self.world.pass_time(5)
        self.world.send("safe")
        self.assertIsNone(self.limits.find_rate(self.record))
        self.assertEqual(len(self.list_events(RateLimitLifted)), 1)

    def test_peers_are_told_of_a_limit_and_of_its_end(self):
        self.world.context.peer_ips = ["10.0.1.2"]
        self.world.client.script("a", Answer(rate_limit=3.5), Answer())
        self.world.send("safe")
        self.world.pass_time(5)
        self.world.send("safe")
        notices = [RateLimitNotice("a", self.record.born, rate) for rate in (3.5, None)]
        self.assertEqual(
            self.world.peers.sent, [("10.0.1.2", each) for each in notices]
        )

    def test_an_unsigned_or_misdirected_answer_says_nothing_of_the_limit(self):
        for answer in (Answer(503, has_run=False, is_signed=False), Answer(421)):
            self.setUp()
            self.world.client.script("a", Answer(rate_limit=3.5), answer)
            self.world.send("safe")
            self.world.pass_time(5)
            self.world.send("safe")
            self.assertEqual(self.limits.find_rate(self.record), 3.5)


class ReplicaRateLimitsTests(unittest.TestCase):
    def setUp(self):
        self.record = make_record("a")
        self.limits = ReplicaRateLimits()

    def test_an_answer_to_an_earlier_request_does_not_lift_the_limit(self):
        self.limits.record_named(self.record, 2.0, seconds(10))
        self.assertFalse(self.limits.record_unnamed(self.record, seconds(9)))
        self.assertEqual(self.limits.find_rate(self.record), 2.0)
        self.assertTrue(self.limits.record_unnamed(self.record, seconds(11)))

    def test_a_limit_of_zero_leaves_requests_that_show_its_end(self):
        self.limits.record_named(self.record, 0.0, seconds(10))
        self.assertEqual(self.limits.find_rate(self.record), MIN_RATE)

    def test_another_start_of_the_replica_is_not_limited(self):
        self.limits.record_named(self.record, 2.0, seconds(10))
        self.assertIsNone(self.limits.find_rate(replace(self.record, born=2)))

    def test_replicas_that_are_gone_are_forgotten(self):
        self.limits.record_named(self.record, 2.0, seconds(10))
        self.limits.retain({"b"})
        self.assertEqual(self.limits.count(), 0)


if __name__ == "__main__":
    unittest.main()
