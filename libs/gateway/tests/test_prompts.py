"""Prompts that wait at the side process until their replica may read them."""

import random
import unittest
from dataclasses import replace
from datetime import timedelta

from balsamspoke_fakes import VirtualClock, VirtualTime
from balsamspoke_fakes.properties import examples
from balsamspoke_gateway.exceptions import Overloaded
from balsamspoke_gateway.loads import INITIAL_SECONDS_PER_TOKEN
from balsamspoke_gateway.messages import (
    PromptAnswer,
    PromptDecision,
    PromptOffer,
    PromptRead,
    PromptWithdrawal,
)
from balsamspoke_gateway.pauses import PACING_TIME, PauseMonitor, is_long_pause
from balsamspoke_gateway.prompt_admission import PromptAdmission
from balsamspoke_gateway.prompt_schedule import (
    PendingPrompt,
    PromptSchedule,
    ReadingPace,
)
from balsamspoke_gateway.reading_speed import ReadingSpeed
from hypothesis import given
from hypothesis import strategies as st

from .world import Answer, RecordedObserver, RecordedPeers, World, make_record

PACE = ReadingPace(timedelta(seconds=0.3), 4_500)
ENTRY = "10.0.1.1"


def seconds(number):
    return timedelta(seconds=number)


def make_prompt(number, tokens, due=1.0, expires=10.0, priority=1):
    """Return a PendingPrompt with times in seconds."""
    return PendingPrompt(
        ENTRY, number, tokens, priority, seconds(due), seconds(expires)
    )


class ScheduleTests(unittest.TestCase):
    def setUp(self):
        self.schedule = PromptSchedule()

    def start_all(self, pace, until=10.0):
        """Return the start time in seconds of each prompt, by its number."""
        now, starts = seconds(0), {}
        while now <= seconds(until):
            for prompt in self.schedule.advance(pace, now).started:
                starts[prompt.number] = now.total_seconds()
            now_or_none = self.schedule.find_next_time(pace, now)
            if now_or_none is None:
                break
            now = max(now_or_none, now + seconds(0.001))
        return starts

    @examples(100)
    @given(st.lists(st.integers(1, 6_000), max_size=30))
    def test_no_window_gets_more_than_the_pace_but_for_one_long_prompt(self, sizes):
        schedule = PromptSchedule()
        self.schedule = schedule
        for number, tokens in enumerate(sizes):
            schedule.add(make_prompt(number, tokens, expires=1_000))
        starts = self.start_all(PACE, until=1_000)
        self.assertEqual(len(starts), len(sizes))
        for begin in starts.values():
            sent = [
                sizes[number]
                for number, start in starts.items()
                if begin <= start < begin + PACE.window.total_seconds() - 1e-6
            ]
            self.assertTrue(sum(sent) <= PACE.tokens or len(sent) == 1, sent)

    def test_nothing_waits_without_a_pause_limit(self):
        for number in range(20):
            self.schedule.add(make_prompt(number, 5_000))
        self.assertEqual(set(self.start_all(None).values()), {0.0})

    def test_urgent_prompts_start_first_and_late_ones_last(self):
        self.schedule.add(make_prompt(1, 4_000, due=-0.1))
        self.schedule.add(make_prompt(2, 4_000, due=0.9))
        self.schedule.add(make_prompt(3, 4_000, due=0.8))
        self.schedule.add(make_prompt(4, 4_000, due=5.0, priority=0))
        starts = self.start_all(PACE)
        self.assertEqual(sorted(starts, key=starts.get), [4, 3, 2, 1])

    def test_refuses_what_has_waited_in_vain(self):
        for number in range(9):
            self.schedule.add(make_prompt(number, 4_500, expires=1.0))
        self.schedule.advance(PACE, seconds(0))
        step = self.schedule.advance(PACE, seconds(1))
        self.assertEqual(len(step.refused), 8)
        self.assertEqual(self.schedule.pending_tokens, 0)


class SlowEngine:
    """Engine that reads prompts in pieces between the tokens of its streams.

    Attributes
    ----------
    longest_pauses : list of float
        Longest pause in seconds between two events of each stream that has ended.
    """

    PIECE_TOKENS = 2_048
    SECONDS_PER_TOKEN = 1 / 19_100
    STEP_SECONDS = 0.012
    TOKENS_PER_EVENT = 3

    def __init__(self):
        self.now = 0.0
        self.unread = []
        self.streams = []
        self.longest_pauses = []

    def send(self, tokens, output):
        self.unread.append([tokens, output])

    def step(self):
        """Perform one step, or wait for a millisecond if there is nothing to do."""
        if not self.unread and not self.streams:
            self.now += 0.001
            return
        budget = self.PIECE_TOKENS
        read = []
        while self.unread and budget > 0:
            piece = min(budget, self.unread[0][0])
            self.unread[0][0] -= piece
            budget -= piece
            if self.unread[0][0] == 0:
                read.append(self.unread.pop(0)[1])
        pieces = self.PIECE_TOKENS - budget
        self.now += self.STEP_SECONDS + pieces * self.SECONDS_PER_TOKEN
        for stream in list(self.streams):
            self._add_token(stream)
        # Tokens left, tokens since the last event, its time, longest pause.
        self.streams += [[output, 0, self.now, 0.0] for output in read]

    def _add_token(self, stream):
        stream[0] -= 1
        stream[1] += 1
        if stream[1] == self.TOKENS_PER_EVENT:
            stream[1:] = 0, self.now, max(stream[3], self.now - stream[2])
        if stream[0] == 0:
            self.streams.remove(stream)
            self.longest_pauses.append(stream[3])


class SlowEngineTests(unittest.TestCase):
    """Load pattern: long prompts at two thirds of the engine's reading speed."""

    PAUSE_LIMIT = 0.3

    def play(self, use_schedule):
        """Return the fraction of streams with a pause beyond the limit."""
        source = random.Random(7)
        engine, schedule = SlowEngine(), PromptSchedule()
        pace = ReadingPace.choose(seconds(self.PAUSE_LIMIT), 6e-5)
        next_arrival, number = 0.0, 0
        while number < 600:
            engine.step()
            while next_arrival <= engine.now:
                number += 1
                tokens = source.randint(900, 2_000)
                schedule.add(make_prompt(number, tokens, 1e6, 1e6))
                next_arrival += source.expovariate(0.63 * 19_100 / 1_450)
            step = schedule.advance(pace if use_schedule else None, seconds(engine.now))
            for prompt in step.started:
                engine.send(prompt.tokens, 171)
        late = [each for each in engine.longest_pauses if each > self.PAUSE_LIMIT]
        return len(late) / len(engine.longest_pauses)

    def test_streams_pause_too_long_without_a_schedule(self):
        self.assertGreater(self.play(use_schedule=False), 0.3)

    def test_scheduled_prompts_leave_the_streams_their_pauses(self):
        self.assertLess(self.play(use_schedule=True), 0.02)


class PauseMonitorTests(unittest.TestCase):
    LIMIT = seconds(0.3)

    def find_limit(self, *counts, after=1.0):
        """Return the limit some time after messages that count long pauses."""
        monitor = PauseMonitor()
        for number, count in enumerate(counts):
            monitor.record_pauses(count, self.LIMIT, seconds(0.2 * number))
        return monitor.find_limit(seconds(after))

    def test_single_long_pauses_do_not_pace_prompts(self):
        self.assertIsNone(self.find_limit(1, 0, 1))
        self.assertIsNone(self.find_limit(*[1, *[0] * 25] * 10, after=60))

    def test_long_pauses_of_several_streams_pace_prompts_for_a_minute(self):
        self.assertEqual(self.find_limit(1, 2), self.LIMIT)
        self.assertEqual(self.find_limit(4, after=59), self.LIMIT)
        self.assertIsNone(self.find_limit(4, after=61))

    def test_a_replica_that_hangs_shows_nothing_of_the_reading(self):
        self.assertTrue(is_long_pause(seconds(0.35), self.LIMIT))
        self.assertFalse(is_long_pause(seconds(0.3), self.LIMIT))
        self.assertFalse(is_long_pause(seconds(4), self.LIMIT))


class ReadingSpeedTests(unittest.TestCase):
    def test_prompts_read_in_one_step_count_together(self):
        # Three short prompts are read in one step of 60 ms, one after another in steps
        # of 30 ms each: the engine can read 32 tokens in a millisecond.
        speed = ReadingSpeed()
        for number in range(60):
            now = seconds(number)
            for part in range(3):
                speed.record_sent((number, part), 640, now)
            for part in range(3):
                speed.record_read((number, part), now + seconds(0.06))
        self.assertAlmostEqual(speed.seconds_per_token, 0.06 / (3 * 640))

    def test_queued_prompts_count_from_the_end_of_the_previous_one(self):
        speed = ReadingSpeed()
        for number in range(20):
            speed.record_sent(number, 2_000, seconds(0))
        for number in range(20):
            speed.record_read(number, seconds(0.1 * (number + 1)))
        self.assertAlmostEqual(speed.seconds_per_token, 0.1 / 2_000)

    def test_a_stall_and_unknown_prompts_hardly_move_the_estimate(self):
        source = random.Random(3)
        speed = ReadingSpeed()
        for number in range(100):
            is_disturbed = source.random() < 0.5
            waited = 0.1 * (source.uniform(1.2, 30.0) if is_disturbed else 1.0)
            speed.record_sent(number, 2_000, seconds(10 * number))
            speed.record_read(number, seconds(10 * number + waited))
        self.assertAlmostEqual(speed.seconds_per_token, 0.1 / 2_000, delta=1e-5)


class AdmissionTests(unittest.TestCase):
    def setUp(self):
        self.time = VirtualTime()
        self.peers = RecordedPeers()
        self.observer = RecordedObserver()
        self.admission = PromptAdmission(
            VirtualClock(self.time), self.peers, self.observer
        )
        self.admission.record_pauses(3, PACE.window)
        self.tokens = ReadingPace.choose(PACE.window, INITIAL_SECONDS_PER_TOKEN).tokens

    def offer(self, number, part=0.9, patience=1.0):
        """Offer a prompt that takes a part of what may be sent in a window."""
        offer = PromptOffer(number, round(part * self.tokens), 1, 0.5, patience)
        self.admission.receive_offer(ENTRY, offer)

    def list_answers(self, number):
        messages = [message for _, message in self.peers.sent]
        return [each.decision for each in messages if each.number == number]

    def test_answers_each_offer_at_once_and_again_when_it_may_start(self):
        self.offer(1)
        self.offer(2)
        self.assertEqual(self.list_answers(1), [PromptDecision.START])
        self.assertEqual(self.list_answers(2), [PromptDecision.WAIT])
        self.time.advance(seconds(0.31))
        self.assertEqual(
            self.list_answers(2), [PromptDecision.WAIT, PromptDecision.START]
        )

    def test_refuses_at_once_what_cannot_start_in_time(self):
        for number in range(1, 4):
            self.offer(number, patience=0.5)
        self.assertEqual(self.list_answers(3), [PromptDecision.REFUSE])
        answer = self.peers.sent[-1][1]
        self.assertAlmostEqual(answer.wait, 0.3 + 0.3 * 0.9, places=3)

    def test_repeats_a_lost_permission_without_counting_the_prompt_twice(self):
        self.offer(1, 0.4)
        self.offer(1, 0.4)
        self.offer(2, 0.4)
        self.assertEqual(self.list_answers(1), [PromptDecision.START] * 2)
        self.assertEqual(self.list_answers(2), [PromptDecision.START])

    def test_reports_when_prompts_begin_and_cease_to_be_paced(self):
        self.assertTrue(self.admission.is_needed)
        self.time.advance(PACING_TIME)
        self.assertFalse(self.admission.is_needed)
        self.assertEqual(
            [each.pause_limit for each in self.observer.events], [PACE.window, None]
        )

    def test_a_withdrawn_prompt_gives_way(self):
        self.offer(1)
        self.offer(2)
        self.admission.receive_withdrawal(ENTRY, PromptWithdrawal(2))
        self.time.advance(seconds(0.31))
        self.assertEqual(self.list_answers(2), [PromptDecision.WAIT])
        self.assertEqual(self.admission.pending_tokens, 0)


class EntryTests(unittest.TestCase):
    def setUp(self):
        self.world = World()
        self.record = make_record("a", "engines")
        self.world.add(self.record)
        self.tell_state()

    def tell_state(self):
        self.world.tell_state(self.record, {"a1": 1}, schedules_prompts=True)

    def list_offers(self):
        sent = [message for _, message in self.world.peers.sent]
        return [each for each in sent if isinstance(each, PromptOffer)]

    def answer(self, decision, wait=0.0):
        number = self.list_offers()[-1].number
        answer = PromptAnswer(number, decision, wait)
        self.world.context.prompt_offers.record_answer(answer)

    def list_withdrawals(self):
        sent = [message for _, message in self.world.peers.sent]
        return [each for each in sent if isinstance(each, PromptWithdrawal)]

    def test_sends_a_prompt_once_it_may_start(self):
        self.world.send("stream", "a1", tokens=700)
        self.assertEqual([each.tokens for each in self.list_offers()], [700])
        self.answer(PromptDecision.WAIT, 0.2)
        self.assertEqual(self.world.client.sent, [])
        self.answer(PromptDecision.START)
        self.assertEqual(len(self.world.client.sent), 1)
        self.assertEqual(self.list_withdrawals(), [])

    def test_reports_the_first_event_of_a_permitted_prompt(self):
        self.world.client.script("a", Answer(pieces=[b"id:1\ndata:x\n\n"]))
        self.world.send("stream", "a1")
        self.answer(PromptDecision.START)
        number = self.list_offers()[-1].number
        self.assertIn((self.record.ip, PromptRead(number)), self.world.peers.sent)

    def test_sends_no_prompt_to_a_replica_that_began_to_leave_meanwhile(self):
        other = make_record("b", "engines", number=2)
        self.world.send("stream", "a1")
        self.answer(PromptDecision.WAIT, 0.5)
        self.world.add(replace(self.record, is_leaving=True), other)
        self.world.tell_state(other, {"a1": 1})
        self.answer(PromptDecision.START)
        self.assertEqual([name for name, _ in self.world.client.sent], ["b"])

    def test_refuses_at_once_and_says_when_to_return(self):
        sink, _ = self.world.send("stream", "a1")
        self.answer(PromptDecision.REFUSE, 1.5)
        self.assertIsInstance(sink.refusal, Overloaded)
        self.assertEqual(sink.refusal.retry_after, seconds(1.5))
        self.assertEqual(self.world.client.sent, [])

    def test_repeats_an_unanswered_offer_and_then_sends_without_permission(self):
        self.world.send("stream", "a1")
        self.world.pass_time(0.13)
        self.assertEqual(len(self.list_offers()), 3)
        self.assertEqual(len(self.world.client.sent), 1)

    def test_repeats_the_offer_of_a_prompt_that_waits(self):
        self.world.send("stream", "a1")
        self.answer(PromptDecision.WAIT, 0.5)
        self.world.pass_time(0.25)
        self.assertEqual(len(self.list_offers()), 2)
        self.assertEqual(self.world.client.sent, [])

    def test_refuses_a_prompt_that_waits_beyond_its_time(self):
        sink, _ = self.world.send("stream", "a1")
        for _ in range(8):
            self.answer(PromptDecision.WAIT, 0.5)
            self.world.pass_time(0.1)
        self.assertIsInstance(sink.refusal, Overloaded)
        self.assertEqual(self.world.client.sent, [])
        self.assertEqual(len(self.list_withdrawals()), 1)

    def test_withdraws_the_offer_of_a_caller_that_left(self):
        _, running = self.world.send("stream", "a1")
        self.answer(PromptDecision.WAIT, 0.5)
        running.cancel()
        self.assertEqual(len(self.list_withdrawals()), 1)
        self.assertEqual(self.world.context.fleet.find_load("a").scheduled_tokens, 0)

    def test_a_waiting_prompt_keeps_its_adapter_in_use(self):
        self.world.send("stream", "a1")
        self.answer(PromptDecision.WAIT, 0.5)
        load = self.world.context.fleet.find_load("a")
        demands = self.world.context.demands
        message = demands.make_message("a", load, seconds(0.2), seconds(0))
        self.assertEqual(message.in_use, ("a1",))
