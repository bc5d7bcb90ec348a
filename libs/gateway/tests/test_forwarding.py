import unittest
from unittest import mock

from balsamspoke_gateway.exceptions import (
    AnswerLost,
    BodyTooLarge,
    MalformedRequest,
    NoReplica,
    NotReady,
    NotSent,
    OutcomeUnknown,
    OverLimit,
    TimedOut,
    UnknownKey,
    UnknownRoute,
)
from balsamspoke_gateway.messages import ReplicaState
from balsamspoke_gateway.observing import RetryDecided
from balsamspoke_gateway.peers.standing import Standing
from balsamspoke_gateway.store.startup import MAX_STARTUP_WAIT, StartupGate

from .scripted_replicas import Answer
from .world import MODEL, World, make_record, seconds


class PlainRequestTests(unittest.TestCase):
    def setUp(self):
        self.world = World()
        self.world.add(make_record("a"), make_record("b", number=2))

    def script_both(self, *answers):
        self.world.client.script("a", *answers)
        self.world.client.script("b", *answers)

    def test_forwards_the_answer(self):
        sink, _ = self.world.send("safe")
        self.assertEqual((sink.status, sink.body), (200, b"body"))
        self.assertTrue(sink.is_finished)

    def test_sends_the_replica_id_and_the_time_left(self):
        self.world.send("safe", caller_timeout=2)
        replica, request = self.world.client.sent[0]
        self.assertEqual(request.replica_id, replica)
        self.assertEqual(request.time_left, seconds(2))

    def test_a_body_without_an_end_is_given_up_and_not_kept(self):
        for has_run in (True, False):
            with self.subTest(has_run=has_run):
                self.setUp()
                endless = Answer(pieces=[bytes(2**20)] * 100, has_run=has_run)
                self.script_both(endless)
                sink, _ = self.world.send("unsafe")
                self.assertIsInstance(sink.failure, OutcomeUnknown)
                exchange = self.world.client.exchanges[0]
                self.assertTrue(exchange.is_aborted)
                self.assertGreater(len(exchange.remaining_pieces), 90)

    def test_refuses_without_a_configuration(self):
        self.world.context.configuration = None
        self.world.context.startup = StartupGate(self.world.clock)
        sink, _ = self.world.send("safe")
        self.world.pass_time(MAX_STARTUP_WAIT.total_seconds())
        self.assertIsInstance(sink.refusal, NotReady)

    def test_refuses_an_unknown_route_or_key(self):
        sink, _ = self.world.send("nowhere")
        self.assertIsInstance(sink.refusal, UnknownRoute)
        sink, _ = self.world.send("keyed", key="wrong")
        self.assertIsInstance(sink.refusal, UnknownKey)
        self.assertEqual(self.world.client.sent, [])

    def test_retries_a_lost_safe_request_at_another_replica(self):
        script = [Answer(error=AnswerLost("reset")), Answer()]
        self.world.client.answers = {"a": script, "b": script}
        sink, _ = self.world.send("safe")
        self.assertEqual(sink.status, 200)
        (first, _), (second, _) = self.world.client.sent
        self.assertNotEqual(first, second)

    # A replica counted one request more for ever, and got fewer of those that came.
    def test_a_request_that_cannot_be_written_does_not_stay_in_the_load(self):
        self.world.client.send = mock.Mock(side_effect=ValueError("no header value"))
        sink, _ = self.world.send("unsafe")
        self.assertIsInstance(sink.failure, OutcomeUnknown)
        fleet = self.world.context.fleet
        self.assertEqual([fleet.find_load(name).in_flight for name in "ab"], [0, 0])

    # An odd header of one caller would count as a failure of each replica.
    def test_a_request_that_is_malformed_is_refused_and_no_replicas_failure(self):
        self.script_both(Answer(error=MalformedRequest("no header value")))
        health = self.world.context.fleet.health
        with mock.patch.object(health, "record_failure") as record_failure:
            sink, _ = self.world.send("safe")
        self.assertIsInstance(sink.refusal, MalformedRequest)
        self.assertEqual(len(self.world.client.sent), 1)
        record_failure.assert_not_called()

    def test_does_not_retry_a_lost_unsafe_request(self):
        self.script_both(Answer(error=AnswerLost("reset")))
        sink, _ = self.world.send("unsafe")
        self.assertEqual(len(self.world.client.sent), 1)
        self.assertIsInstance(sink.failure, OutcomeUnknown)

    def test_retries_an_unsafe_request_that_was_not_sent_or_not_run(self):
        for first in (Answer(error=NotSent("refused")), Answer(503, has_run=False)):
            world = World()
            world.add(make_record("a"), make_record("b", number=2))
            script = [first, Answer()]
            world.client.answers = {"a": script, "b": script}
            sink, _ = world.send("unsafe")
            self.assertEqual(sink.status, 200)
            self.assertEqual(len(world.client.sent), 2)

    def test_refuses_with_a_retry_after_time_if_nothing_ran(self):
        self.script_both(Answer(503, has_run=False))
        sink, _ = self.world.send("unsafe")
        self.assertIsInstance(sink.refusal, NoReplica)
        self.assertIsNotNone(sink.refusal.retry_after)

    def test_forwards_a_server_error_of_an_unsafe_request_unchanged(self):
        self.script_both(Answer(500))
        sink, _ = self.world.send("unsafe")
        self.assertEqual((sink.status, sink.body), (500, b"body"))

    def test_an_address_that_another_replica_uses_does_not_draw_requests(self):
        # Its refusals are fast, so it always seems to be the least loaded.
        self.world.client.answers["a"] = [Answer(421, has_run=False)] * 100
        for _ in range(40):
            sink, _ = self.world.send("unsafe")
            self.assertEqual(sink.status, 200)
        receivers = [replica for replica, _ in self.world.client.sent]
        self.assertLessEqual(receivers.count("a"), 2)

    def test_does_not_accept_an_unsigned_success(self):
        self.script_both(Answer(is_signed=False))
        sink, _ = self.world.send("unsafe")
        self.assertIsInstance(sink.failure, OutcomeUnknown)

    def test_times_out_an_unanswered_unsafe_request_at_its_deadline(self):
        self.script_both(Answer(is_silent=True))
        sink, _ = self.world.send("unsafe", caller_timeout=1)
        self.world.pass_time(0.99)
        self.assertFalse(sink.is_finished)
        self.world.pass_time(0.02)
        self.assertIsInstance(sink.failure, TimedOut)

    # An answer that came after half of its time was cut, and the caller got a 502.
    def test_an_answer_has_all_of_its_time(self):
        for route in ("safe", "unsafe"):
            with self.subTest(route=route):
                self.setUp()
                self.script_both(Answer(goes_silent=True))
                sink, _ = self.world.send(route, caller_timeout=2)
                self.world.pass_time(0.3)
                answers = len(self.world.client.exchanges)
                self.world.client.exchanges[-1].supply(b", more")
                self.world.pass_time(0.5 if route == "safe" else 1.6)
                self.assertEqual(len(self.world.client.exchanges), answers)
                self.world.client.exchanges[-1].supply(b"")
                self.assertEqual((sink.status, sink.body), (200, b"body, more"))

    def test_aborts_the_exchange_when_the_caller_disconnects(self):
        self.script_both(Answer(is_silent=True))
        sink, running = self.world.send("safe")
        running.cancel()
        self.assertTrue(self.world.client.exchanges[0].is_aborted)
        self.assertFalse(sink.is_started)
        self.assertEqual(self.world.observer.find_request_end().outcome, "CallerLeft")

    def test_refunds_a_request_that_has_not_run(self):
        self.script_both(*[Answer(503, has_run=False)] * 4)
        sink, _ = self.world.send("keyed", key="key-1", token_cost=90)
        self.assertIsInstance(sink.refusal, NoReplica)
        self.assertEqual(self.world.context.quotas.admitted["harbour"], 0)

    def test_refunds_a_request_cancelled_before_it_was_sent(self):
        world = World()
        record = make_record("a", "engines")
        world.add(record)
        world.tell_state(record, {})
        _, running = world.send(
            "keyed-stream", adapter="a7", key="key-1", token_cost=90
        )
        running.cancel()
        self.assertEqual(world.client.sent, [])
        self.assertEqual(world.context.quotas.admitted["harbour"], 0)

    def test_does_not_refund_a_request_cancelled_after_it_was_sent(self):
        self.script_both(Answer(is_silent=True))
        _, running = self.world.send("keyed", key="key-1", token_cost=90)
        running.cancel()
        self.assertEqual(self.world.context.quotas.admitted["harbour"], 90)

    def test_refuses_a_body_beyond_the_limit_and_charges_nothing(self):
        max_bytes = self.world.context.configuration.caller_limits.body_bytes
        sink, _ = self.world.send("keyed", key="key-1", body=b"a" * (max_bytes + 1))
        self.assertIsInstance(sink.refusal, BodyTooLarge)
        self.assertEqual(self.world.client.sent, [])
        self.assertEqual(self.world.context.quotas.admitted, {})

    def test_refuses_over_the_limit_with_a_retry_after_time(self):
        for _ in range(2):
            self.world.send("keyed", key="key-1", token_cost=60)
        sink, _ = self.world.send("keyed", key="key-1", token_cost=60)
        self.assertIsInstance(sink.refusal, OverLimit)
        self.assertAlmostEqual(sink.refusal.retry_after.total_seconds(), 0.8)


class AvoidedEngineTests(unittest.TestCase):
    """Engine "a" holds the model and is avoided; the others lack the model."""

    def setUp(self):
        self.world = World()
        record = make_record("a", "engines")
        self.world.add(record)
        self.world.tell_state(record, {})
        now = self.world.clock.monotonic()
        self.world.context.fleet.health.record_failure("a", now, is_unreachable=True)
        self.fleet = self.world.context.fleet

    def list_candidates(self):
        listed = self.fleet.list_candidates("engines", MODEL, set())
        return [each.record.id for each in listed]

    def test_a_healthy_engine_without_the_model_does_not_replace_it(self):
        self.world.add(make_record("b", "engines", 2, models=()))
        self.assertEqual(self.list_candidates(), ["a"])
        self.world.client.script("a", Answer(pieces=[b"id:1\ndata:x\n\n"]))
        sink, _ = self.world.send("stream")
        self.assertIsNone(sink.refusal)

    def test_a_healthy_engine_with_the_model_does(self):
        self.world.add(make_record("b", "engines", 2))
        self.assertEqual(self.list_candidates(), ["b"])

    def test_without_the_model_anywhere_the_healthy_ones_are_left(self):
        self.world.add(make_record("b", "engines", 2, models=()))
        self.fleet.record_state("10.0.0.1", ReplicaState(1))
        self.assertEqual(self.list_candidates(), ["b"])


class RetryBudgetTests(unittest.TestCase):
    def test_limits_the_retries_at_a_failing_service(self):
        world = World()
        world.context.standing = Standing(5, is_settled=True)
        world.add(make_record("a"), make_record("b", number=2))
        world.client.answers = {}
        world.client.send = _make_failing_send(world.client)
        for _ in range(200):
            world.send("safe")
        sent_count = len(world.client.sent)
        self.assertLessEqual(sent_count, 200 + 0.2 * 200 + 50 / 5)
        self.assertGreater(sent_count, 200)

    def test_each_decision_is_told_with_what_the_budget_counts(self):
        world = World()
        world.add(make_record("a"), make_record("b", number=2))
        world.client.send = _make_failing_send(world.client)
        for _ in range(100):
            world.send("safe")
        decisions = [
            each for each in world.observer.events if isinstance(each, RetryDecided)
        ]
        self.assertEqual(len(decisions), 100)
        retries = len(world.client.sent) - 100
        self.assertEqual(sum(each.is_allowed for each in decisions), retries)
        last = decisions[-1]
        self.assertEqual((last.counted_requests, last.counted_retries), (100, retries))


def _make_failing_send(client):
    """Return a replacement of ``client.send`` that loses every answer."""
    send = type(client).send

    def fail_send(record, request):
        client.script(record.id, Answer(error=AnswerLost("reset")))
        return send(client, record, request)

    return fail_send


if __name__ == "__main__":
    unittest.main()
