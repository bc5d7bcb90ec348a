import unittest
from datetime import timedelta

from balsamspoke_fakes.properties import examples
from balsamspoke_node import EntrySettings
from balsamspoke_routing import LedgerSettings
from balsamspoke_types.messages import CallService, RunGeneration
from balsamspoke_types.objects import Kind
from hypothesis import given
from hypothesis import strategies as st

from .checkers import (
    find_double_bookings,
    find_false_refusals,
    find_unanswered,
    find_wrong_answers,
)
from .fleet import MODEL, Fleet, get_expected_text
from .outcomes import (
    BOOKINGS,
    ENGINE_FAILURES,
    LATE_MESSAGES,
    RECORD_FAILURES,
    SERVICE_FAILURES,
    STREAMS,
    OutcomeDriver,
    check_outcomes,
    draw_actions,
    find_bookings_reported_not_run,
    find_different_answers,
    find_orphaned_generations,
)

SEEDS = st.integers(0, 2**16)
FLEET_SIZES = {"engines": 2, "services": 2, "entries": 3, "adapters": 6}


def make_fleet(seed=0):
    fleet = Fleet(seed, **FLEET_SIZES)
    fleet.settle()
    return fleet


def pause_receiver(fleet, kind):
    """Pause the side process that the last order of a message type was sent to."""
    log = fleet.network.log
    peers = [peer for _, peer, message in log if isinstance(message, kind)]
    clock = fleet.machines[peers[-1].vm].clock
    clock.pause()
    return clock


class OutcomePropertiesTest(unittest.TestCase):
    def run_schedule(self, schedule, seed):
        fleet = make_fleet(seed)
        driver = OutcomeDriver(fleet)
        driver.run(schedule)
        driver.heal(30)
        # Check before the repeats: they get answers, which would hide that all earlier
        # submissions were reported not-run.
        violations = find_bookings_reported_not_run(fleet)
        driver.repeat_all()
        fleet.advance(15)
        violations += check_outcomes(fleet) + find_unanswered(fleet)
        self.assertEqual(violations + find_orphaned_generations(fleet), [])

    @examples(4)
    @given(draw_actions(*BOOKINGS, *BOOKINGS, *RECORD_FAILURES), SEEDS)
    def test_bookings_under_failures_of_records(self, schedule, seed):
        self.run_schedule(schedule, seed)

    @examples(4)
    @given(draw_actions(*BOOKINGS, *SERVICE_FAILURES, *LATE_MESSAGES), SEEDS)
    def test_bookings_under_lost_and_late_messages(self, schedule, seed):
        self.run_schedule(schedule, seed)

    @examples(3)
    @given(draw_actions(*STREAMS, *STREAMS, *ENGINE_FAILURES, *LATE_MESSAGES), SEEDS)
    def test_streams_under_failures_of_replicas(self, schedule, seed):
        self.run_schedule(schedule, seed)


class AtMostOnceTest(unittest.TestCase):
    """Single failures at each point between idempotency record and stored answer."""

    def setUp(self):
        self.fleet = make_fleet()
        self.driver = OutcomeDriver(self.fleet)

    def count_runs(self):
        return sum(len(service.calls) for service in self.fleet.services)

    def test_an_entry_killed_at_any_millisecond_after_a_booking(self):
        for gap in range(8):
            self.driver.kill_during_booking(100 + gap, gap, gap * 0.75)
            self.driver.wait(4)
        self.driver.repeat_all()
        self.assertEqual(check_outcomes(self.fleet), [])

    def test_an_entry_paused_at_any_millisecond_after_a_booking(self):
        for gap in range(8):
            self.driver.pause_during_booking(100 + gap, gap, gap * 0.75, 3.0)
            self.driver.wait(4)
        self.driver.repeat_all()
        self.assertEqual(check_outcomes(self.fleet), [])
        self.assertEqual(self.count_runs(), 8)

    def test_each_repeat_after_a_lost_answer_is_reported_unknown(self):
        for service in self.fleet.services:
            service.loses_answers = True
        self.driver.book_concurrently(1, 0, 3, 0)
        self.driver.wait(5)
        for service in self.fleet.services:
            service.loses_answers = False
        self.driver.repeat_all()
        outcomes = {sent.responder.outcome for sent in self.fleet.sent}
        self.assertEqual((outcomes, self.count_runs()), ({"unknown"}, 1))

    def test_a_call_without_an_idempotency_key_is_not_retried(self):
        for service in self.fleet.services:
            service.loses_answers = True
        answers = [self.fleet.book(entry) for entry in self.fleet.entries()]
        self.driver.wait(5)
        self.assertEqual({answer.outcome for answer in answers}, {"unknown"})
        self.assertEqual(self.count_runs(), len(answers))

    def test_a_repeat_is_unknown_while_the_side_process_is_paused(self):
        """The call may still run when the process resumes, so a repeat gets unknown."""
        first, second, _ = self.fleet.entries()
        self.fleet.book(first, idempotency_key="once-1", body=b"booking-91.")
        self.driver.wait(0.0022)
        clock = pause_receiver(self.fleet, CallService)
        self.fleet.kill(first)
        self.driver.wait(1.5)
        repeat = self.fleet.book(second, idempotency_key="once-1", body=b"booking-91.")
        self.driver.wait(0.5)
        self.assertEqual(repeat.outcome, "unknown")
        clock.resume()
        self.driver.wait(3)
        self.assertEqual(self.count_runs(), 1)

    def test_an_answer_lost_with_its_connection_is_unknown(self):
        entry = self.fleet.entries()[0]
        for key in ("", "once-1"):
            answer = self.fleet.book(entry, idempotency_key=key)
            self.driver.wait(0.0022)
            order = [m for m in self.fleet.network.log if isinstance(m[2], CallService)]
            self.fleet.network.cut.add((order[-1][1].vm, entry))
            self.driver.wait(5)
            self.assertEqual(answer.outcome, "unknown")
            self.driver.heal_network()
            self.driver.wait(5)
        self.assertEqual(self.count_runs(), 2)

    def test_a_call_with_a_late_idempotency_record_does_not_run(self):
        self.driver.set_store_delay(0, 1000)
        answer = self.fleet.book(self.fleet.entries()[0], idempotency_key="once-1")
        self.driver.wait(10)
        self.assertEqual((answer.outcome, self.count_runs()), ("not-run", 0))

    def test_a_store_outage_refuses_keyed_bookings_as_not_run(self):
        self.driver.stop_store(False)
        keyed = self.fleet.book(self.fleet.entries()[0], idempotency_key="once-1")
        plain = self.fleet.book(self.fleet.entries()[0])
        self.driver.wait(5)
        self.assertEqual(keyed.code, "idempotency_record_unavailable")
        self.assertEqual((keyed.outcome, plain.status), ("not-run", 200))
        self.driver.heal(10)
        self.assertEqual(self.count_runs(), 1)


class WholeAnswersTest(unittest.TestCase):
    def setUp(self):
        self.fleet = make_fleet()
        self.entry = self.fleet.entries()[0]

    def find_running_vm(self):
        """Return the VM whose engine runs a request."""
        for vm in self.fleet.sides(MODEL):
            if self.fleet.machines[vm].backend.running:
                return vm
        raise AssertionError("no engine runs a request")

    def test_a_slow_caller_pauses_the_engine_and_loses_no_tokens(self):
        answer = self.fleet.complete(self.entry, tokens=600)
        self.fleet.advance(2)
        answer.exchange.pause()
        self.fleet.advance(30)
        self.assertTrue(answer.is_open)
        self.assertLess(len(answer.events), 400)
        answer.exchange.resume()
        self.fleet.advance(30)
        self.assertTrue(answer.is_whole)
        self.assertEqual(
            answer.text,
            get_expected_text("adapter-0", 1, 600, self.fleet.sent[0].prompt),
        )

    def test_a_disconnected_caller_cancels_the_generation(self):
        answer = self.fleet.complete(self.entry, tokens=600)
        self.fleet.advance(2)
        self.find_running_vm()
        answer.exchange.cancel()
        self.fleet.advance(0.2)
        self.assertEqual(find_orphaned_generations(self.fleet), [])

    def test_reordered_and_duplicated_messages_give_whole_answers(self):
        self.fleet.network.jitter = timedelta(milliseconds=400)
        self.fleet.network.duplicate_rate = 0.3
        answers = [
            self.fleet.complete(entry, tokens=60, stream=stream)
            for entry in self.fleet.entries()
            for stream in (True, False)
        ]
        self.fleet.advance(20)
        self.assertTrue(all(answer.is_whole for answer in answers))
        self.assertEqual(find_wrong_answers(self.fleet), [])

    def test_streams_continue_after_replica_failures(self):
        faults = (
            self.fleet.restart,
            lambda vm: self.fleet.machines[vm].backend.restart(),
            lambda vm: self.fleet.machines[vm].clock.pause(),
        )
        for inject_fault in faults:
            answer = self.fleet.complete(self.entry, tokens=50)
            self.fleet.advance(1)
            inject_fault(self.find_running_vm())
            self.fleet.advance(15)
            self.assertTrue(answer.is_whole, answer.body[-200:])
        self.assertEqual(find_wrong_answers(self.fleet), [])


class SilentReplicaTest(unittest.TestCase):
    """A replica whose VM is paused stays connected but sends no messages."""

    def setUp(self):
        self.fleet = make_fleet()
        self.entry = self.fleet.entries()[0]

    def test_a_generation_continues_on_another_replica(self):
        answer = self.fleet.complete(self.entry, tokens=5)
        pause_receiver(self.fleet, RunGeneration)
        self.fleet.advance(7)
        self.assertTrue(answer.is_whole, answer.body)

    def test_a_generation_waits_if_there_is_no_other_replica(self):
        fleet = self.fleet
        for vm in fleet.sides(MODEL)[1:]:
            fleet.kill(vm)
        fleet.advance(10)
        answer = fleet.complete(self.entry, tokens=5)
        clock = pause_receiver(self.fleet, RunGeneration)
        fleet.advance(7)
        clock.resume()
        fleet.advance(3)
        self.assertTrue(answer.is_whole, answer.body)

    def test_a_booking_waits_for_its_answer(self):
        answer = self.fleet.book(self.entry)
        clock = pause_receiver(self.fleet, CallService)
        self.fleet.advance(6)
        self.assertTrue(answer.is_open)
        clock.resume()
        self.fleet.advance(1)
        self.assertEqual((answer.status, answer.body), (200, b"call 1"))


class SweepTest(unittest.TestCase):
    def test_entries_delete_old_records_until_stopped(self):
        settings = EntrySettings(
            ledger=LedgerSettings(
                sweep_interval=timedelta(seconds=10),
                retention_period=timedelta(seconds=40),
            )
        )
        fleet = Fleet(**FLEET_SIZES, entry_settings=settings)
        fleet.settle()
        self.book(fleet, "once-1")
        fleet.advance(20)
        self.assertEqual(self.count_records(fleet), 1)
        fleet.advance(40)
        self.assertEqual(self.count_records(fleet), 0)
        self.book(fleet, "once-2")
        fleet.advance(5)
        for entry in fleet.entries():
            fleet.node(entry).stop()
        fleet.advance(70)
        self.assertEqual(self.count_records(fleet), 1)

    @staticmethod
    def book(fleet, key):
        fleet.book(fleet.entries()[0], idempotency_key=key)

    @staticmethod
    def count_records(fleet):
        return sum(
            kind is Kind.IDEMPOTENCY and not name.startswith(".")
            for kind, name in fleet.store.objects
        )


class CheckersTest(unittest.TestCase):
    """Each checker reports a history that violates its invariant."""

    def setUp(self):
        self.fleet = make_fleet()
        self.entry = self.fleet.entries()[0]

    def book(self, key="once-1"):
        body = b"booking-91." if key else b""
        answer = self.fleet.book(self.entry, idempotency_key=key, body=body)
        self.fleet.advance(3)
        return answer

    def rewrite(self, answer, outcome):
        answer.status = 503
        answer.body = b'{"error": {"code": "x", "outcome": "%s"}}' % outcome

    def test_a_booking_that_ran_twice(self):
        self.book()
        self.assertEqual(find_double_bookings(self.fleet), [])
        service = next(one for one in self.fleet.services if one.calls)
        other = next(one for one in self.fleet.services if one is not service)
        other.calls.append(service.calls[0])
        self.assertIn("ran 2 times", find_double_bookings(self.fleet)[0])

    def test_repeats_with_different_answers(self):
        self.book()
        repeat = self.book()
        self.assertEqual(find_different_answers(self.fleet), [])
        repeat.body = b"call 2"
        self.assertEqual(len(find_different_answers(self.fleet)), 1)

    def test_a_booking_that_ran_but_was_reported_not_run(self):
        self.rewrite(self.book(), b"unknown")
        self.assertEqual(find_bookings_reported_not_run(self.fleet), [])
        self.rewrite(self.fleet.sent[0].responder, b"not-run")
        self.assertEqual(len(find_bookings_reported_not_run(self.fleet)), 1)

    def test_false_refusals(self):
        booking = self.book("")
        stream = self.fleet.complete(self.entry, stream=False)
        self.fleet.advance(3)
        self.assertEqual(find_false_refusals(self.fleet), [])
        self.rewrite(booking, b"not-run")
        self.rewrite(stream, b"not-run")
        self.assertEqual(len(find_false_refusals(self.fleet)), 2)

    def test_wrong_answers(self):
        answer = self.fleet.complete(self.entry, tokens=3)
        self.fleet.advance(3)
        self.assertEqual(find_wrong_answers(self.fleet), [])
        whole = answer.body
        lines = whole.split(b"\n\n")
        for wrong in (lines[1:], lines[:1] + lines, lines[:1] + lines[2:]):
            answer.body = b"\n\n".join(wrong)
            self.assertEqual(len(find_wrong_answers(self.fleet)), 1)
        answer.body = whole
        answer.ends = 2
        self.assertIn("ended 2 times", find_wrong_answers(self.fleet)[0])

    def test_a_generation_that_no_caller_waits_for(self):
        self.fleet.complete(self.entry, tokens=500)
        self.fleet.advance(2)
        self.assertEqual(len(find_orphaned_generations(self.fleet)), 1)
