"""Property tests of the invariants of replicas under generated schedules."""

import unittest
from datetime import timedelta

from balsamspoke_fakes import VirtualClock
from balsamspoke_fakes.properties import examples
from balsamspoke_types.messages import (
    AttemptFenced,
    AttemptRefused,
    CallService,
    CancelAttempt,
    CreditTokens,
    FenceAttempt,
    GenerationFinished,
    RunGeneration,
)
from balsamspoke_types.objects import PriorityClass
from balsamspoke_types.outcomes import Cause
from balsamspoke_types.ports import ServiceRequest
from hypothesis import given
from hypothesis import strategies as st

from .harness import (
    ENTRY,
    ReplicaHarness,
    adapter,
    check_adapters,
    check_not_run,
    check_one_final_message,
    check_run_once,
    milliseconds,
)

SETTLING = timedelta(seconds=40)
DELAYS = st.sampled_from([0, 0, 0, 1, 30, 400, 3000])
RUN_GENERATION = st.tuples(
    st.just("run"),
    st.integers(0, 5),
    st.integers(1, 2),
    st.integers(1, 40),
    st.sampled_from(["busy", "busy", "other"]),
    st.sampled_from(list(PriorityClass)),
    st.sampled_from([50, 2000, 30_000]),
    st.sampled_from(["", "key-1", "key-2"]),
    st.sampled_from([2, 256]),
    DELAYS,
)
ATTEMPT_MESSAGE = st.tuples(
    st.sampled_from(["duplicate", "cancel", "fence", "credit"]),
    st.integers(0, 30),
    DELAYS,
)
ADVANCE = st.tuples(st.just("advance"), st.sampled_from([1, 20, 100, 300, 1200]))
FAULT = st.sampled_from(
    [
        ("restart",),
        ("silent-restart",),
        ("down",),
        ("up",),
        ("fail", 0),
        ("fail", 1),
        ("repair",),
        ("lag", 800),
        ("lag", 0),
        ("misreport", (0, 1)),
        ("misreport", ()),
        ("misreport", None),
        ("pause",),
        ("resume",),
        ("withdraw", "key-1"),
        ("drop-adapter",),
        ("enforce-fencing",),
    ]
)
FINAL_FAULT = st.sampled_from(
    [("disconnect",), ("lose-ownership",), ("raise-fencing",), ("replace-process",)]
)
STEPS = st.lists(
    st.one_of(
        RUN_GENERATION,
        RUN_GENERATION,
        RUN_GENERATION,
        ATTEMPT_MESSAGE,
        ADVANCE,
        ADVANCE,
        FAULT,
    ),
    max_size=60,
)


class Schedule:
    """Run generated steps against a replica, then end its pause and engine faults."""

    def __init__(self, slots, batch_size):
        self.harness = ReplicaHarness(slots, batch_size).start_engine()
        self.clocks = [self.harness.clock]
        self.is_disconnected = False
        self.first_attempt_index = 0

    def run_steps(self, steps):
        for name, *arguments in steps:
            getattr(self, "do_" + name.replace("-", "_"))(*arguments)
        self.recover()
        return self.harness

    def recover(self):
        harness = self.harness
        harness.clock.resume()
        harness.engine.up = True
        harness.engine.failing.clear()
        harness.engine.report_lag = timedelta(0)
        harness.engine.reported_adapters = None
        for _ in range(SETTLING // milliseconds(500)):
            for attempt in harness.runs:
                harness.deliver(CreditTokens(attempt, 100))
            harness.advance(500)

    def schedule_message(self, message, delay):
        harness = self.harness
        replica = harness.replica
        harness.time.schedule(
            harness.time.elapsed + milliseconds(delay),
            harness.clock.run_or_defer,
            replica.peer_message,
            ENTRY,
            message,
        )
        harness.advance(0)

    def do_run(
        self, number, version, tokens, team, priority, deadline, key, credit, delay
    ):
        requested_adapter = adapter(number, version) if number else None
        message = self.harness.build_run(
            requested_adapter,
            team,
            tokens,
            priority=priority,
            deadline=milliseconds(deadline),
            key_record=key,
            credit=credit,
        )
        self.schedule_message(message, delay)

    def do_duplicate(self, index, delay):
        self.schedule_attempt_message(index, lambda message: message, delay)

    def do_cancel(self, index, delay):
        self.schedule_attempt_message(
            index, lambda message: CancelAttempt(message.attempt), delay
        )

    def do_fence(self, index, delay):
        self.schedule_attempt_message(
            index, lambda message: FenceAttempt(message.attempt), delay
        )

    def do_credit(self, index, delay):
        self.schedule_attempt_message(
            index, lambda message: CreditTokens(message.attempt, 5), delay
        )

    def schedule_attempt_message(self, index, build, delay):
        messages = list(self.harness.runs.values())[self.first_attempt_index :]
        if messages:
            self.schedule_message(build(messages[index % len(messages)]), delay)

    def do_advance(self, count):
        self.harness.advance(count)

    def do_restart(self):
        self.harness.engine.restart()

    def do_silent_restart(self):
        engine = self.harness.engine
        engine.boot += 1
        engine.loaded = []
        for generation in list(engine.running.values()):
            generation.cancel()

    def do_down(self):
        self.harness.engine.up = False

    def do_up(self):
        self.harness.engine.up = True

    def do_fail(self, number):
        self.harness.engine.failing.add(adapter(number + 1))

    def do_repair(self):
        self.harness.engine.failing.clear()

    def do_lag(self, lag):
        self.harness.engine.report_lag = milliseconds(lag)

    def do_misreport(self, adapter_numbers):
        refs = (
            None if adapter_numbers is None else [adapter(n) for n in adapter_numbers]
        )
        self.harness.engine.reported_adapters = refs

    def do_pause(self):
        self.harness.clock.pause()

    def do_resume(self):
        self.harness.clock.resume()

    def do_withdraw(self, key):
        self.harness.withdrawn_keys.add(key)

    def do_drop_adapter(self):
        engine = self.harness.engine
        used = {generation.order.adapter for generation in engine.running.values()}
        engine.loaded = [found for found in engine.loaded if found in used]

    def do_enforce_fencing(self):
        self.harness.engine.obeys_fencing = True

    def do_disconnect(self):
        self.is_disconnected = True
        self.harness.clock.run_or_defer(self.harness.replica.peer_disconnected, ENTRY)

    def do_lose_ownership(self):
        self.harness.is_holder = False

    def do_raise_fencing(self):
        self.harness.engine.obeys_fencing = True
        self.harness.engine.fencing = 5

    def do_replace_process(self):
        """Kill the process and start another one that takes over the engine.

        A ProcessId names one instance of a process, so messages for the old instance
        don't reach the new one.
        """
        harness = self.harness
        harness.clock.kill()
        harness.clock = VirtualClock(harness.time)
        harness.engine.clock = harness.clock
        self.is_disconnected = True
        self.first_attempt_index = len(harness.runs)
        harness.start_engine(fencing=2)


class TestEngineProperties(unittest.TestCase):
    def assert_invariants(self, schedule, harness):
        self.assertEqual(harness.engine.evicted_in_use, [])
        self.assertEqual(check_adapters(harness.engine.started, harness.runs), [])
        self.assertEqual(check_run_once(harness.engine.started), [])
        self.assertEqual(check_not_run(harness.sent, harness.engine.started), [])
        for attempt, message in harness.runs.items():
            final_messages = harness.find_replies(attempt, (GenerationFinished,))
            if final_messages:
                offsets = [offset for offset, _ in harness.find_tokens(attempt)]
                self.assertEqual(offsets, list(range(message.max_tokens)))
        if not schedule.is_disconnected:
            self.assertEqual(check_one_final_message(harness.sent, harness.runs), [])
            self.assertEqual(harness.replica.describe()["running"], 0)
            self.assertEqual(harness.replica.describe()["queued"], 0)

    @examples(250)
    @given(st.integers(1, 3), st.integers(1, 4), STEPS)
    def test_any_schedule(self, slots, batch_size, steps):
        schedule = Schedule(slots, batch_size)
        self.assert_invariants(schedule, schedule.run_steps(steps))

    @examples(150)
    @given(st.integers(1, 3), st.integers(1, 4), STEPS, FINAL_FAULT, STEPS)
    def test_loss_of_the_process_or_its_peer(
        self, slots, batch_size, steps, fault, more_steps
    ):
        schedule = Schedule(slots, batch_size)
        self.assert_invariants(
            schedule, schedule.run_steps([*steps, fault, *more_steps])
        )

    @examples(60)
    @given(
        st.integers(1, 2),
        st.integers(1, 4),
        st.integers(5, 80),
        st.integers(2, 6),
        st.sampled_from(list(PriorityClass)),
    )
    def test_no_request_starves(
        self, slots, batch_size, tokens, request_count, priority
    ):
        harness = ReplicaHarness(
            slots, batch_size, queued_requests=10_000
        ).start_engine()

        def send_busy_requests():
            for number in range(request_count):
                harness.send_run(
                    adapter(number % 2 + 1),
                    team="busy",
                    tokens=tokens,
                    priority=PriorityClass.INTERACTIVE,
                    deadline=timedelta(hours=1),
                )
            harness.time.schedule(
                harness.time.elapsed + milliseconds(tokens * 20), send_busy_requests
            )

        send_busy_requests()
        harness.advance(3000)
        attempt = harness.send_run(
            adapter(9),
            team="other",
            tokens=2,
            priority=priority,
            deadline=timedelta(hours=1),
        )
        # Time to age by two classes, the pass-over time, and two full batches.
        bound = 4000 + 500 + 2 * (tokens + 2) * 40 + 1500
        harness.advance(bound)
        self.assertIsInstance(harness.find_replies(attempt)[0], GenerationFinished)


CALL_STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("call"), DELAYS, st.sampled_from([20, 5000])),
        st.tuples(
            st.just("repeat-or-end"), st.integers(0, 30), st.integers(0, 2), DELAYS
        ),
        st.tuples(st.just("advance"), st.sampled_from([1, 4, 6, 50, 1100])),
        st.sampled_from(
            [
                ("up", True),
                ("up", False),
                ("lose-answers", True),
                ("lose-answers", False),
            ]
        ),
        st.sampled_from([("pause",), ("resume",)]),
    ),
    max_size=50,
)


class TestServiceProperties(unittest.TestCase):
    @examples(250)
    @given(CALL_STEPS)
    def test_any_schedule(self, steps):
        harness = ReplicaHarness(service_concurrency=2).start_service()
        calls = []
        for step in steps:
            self.run_step(harness, calls, step)
        harness.clock.resume()
        harness.service.up = True
        harness.time.advance(SETTLING)
        called_paths = [request.path for request in harness.service.calls]
        self.assertEqual(len(called_paths), len(set(called_paths)))
        self.assertEqual(
            check_one_final_message(harness.sent, [call.attempt for call in calls]), []
        )
        for call in calls:
            for end in harness.find_replies(call.attempt):
                not_run = isinstance(end, AttemptRefused) or (
                    isinstance(end, AttemptFenced) and not end.handed_over
                )
                if not_run:
                    self.assertNotIn(call.call.path, called_paths)

    def run_step(self, harness, calls, step):
        name, *arguments = step
        if name == "call":
            delay, deadline = arguments
            calls.append(self.build_call(harness, deadline))
            self.schedule_message(harness, calls[-1], delay)
        elif name == "repeat-or-end" and calls:
            index, kind, delay = arguments
            call = calls[index % len(calls)]
            messages = (call, CancelAttempt(call.attempt), FenceAttempt(call.attempt))
            self.schedule_message(harness, messages[kind], delay)
        elif name == "advance":
            harness.advance(arguments[0])
        elif name == "up":
            harness.service.up = arguments[0]
        elif name == "lose-answers":
            harness.service.loses_answers = arguments[0]
        elif name == "pause":
            harness.clock.pause()
        elif name == "resume":
            harness.clock.resume()

    @staticmethod
    def build_call(harness, deadline):
        attempt = harness.build_run().attempt
        request = ServiceRequest("POST", f"/{attempt.number}", (), b"")
        return CallService(
            attempt,
            "request",
            "team",
            "booking",
            request,
            False,
            milliseconds(deadline),
        )

    @staticmethod
    def schedule_message(harness, message, delay):
        harness.time.schedule(
            harness.time.elapsed + milliseconds(delay),
            harness.clock.run_or_defer,
            harness.replica.peer_message,
            ENTRY,
            message,
        )
        harness.advance(0)


class TestCheckers(unittest.TestCase):
    def setUp(self):
        self.harness = ReplicaHarness().start_engine()
        self.attempt = self.harness.send_run(adapter(1))
        self.harness.advance(1000)
        self.started = self.harness.engine.started

    def test_sound_history_passes_all_checks(self):
        harness = self.harness
        self.assertEqual(check_adapters(self.started, harness.runs), [])
        self.assertEqual(check_run_once(self.started), [])
        self.assertEqual(check_not_run(harness.sent, self.started), [])
        self.assertEqual(check_one_final_message(harness.sent, harness.runs), [])

    def test_run_on_a_wrong_adapter_is_found(self):
        runs = {
            self.attempt: RunGeneration(
                self.attempt, "", "team", "base", adapter(1, 2), b"", 3
            )
        }
        self.assertEqual(check_adapters(self.started, runs), self.started)

    def test_second_run_is_found(self):
        self.assertEqual(check_run_once(self.started * 2), [str(self.attempt)])

    def test_run_of_a_refused_attempt_is_found(self):
        for false_message in (
            AttemptRefused(self.attempt, Cause.DEADLINE),
            AttemptFenced(self.attempt, False),
        ):
            sent = [(ENTRY, false_message)]
            self.assertEqual(check_not_run(sent, self.started), [self.attempt])

    def test_missing_and_second_end_are_found(self):
        sent = self.harness.sent
        self.assertEqual(check_one_final_message([], [self.attempt]), [self.attempt])
        self.assertEqual(
            check_one_final_message(sent * 2, [self.attempt]), [self.attempt]
        )

    def test_fake_engine_records_an_eviction_in_use(self):
        self.harness.send_run(adapter(1), tokens=50)
        self.harness.advance(100)
        self.harness.engine.unload_adapter(adapter(1), 1)
        self.harness.advance(1)
        self.assertEqual(self.harness.engine.evicted_in_use, [adapter(1)])
