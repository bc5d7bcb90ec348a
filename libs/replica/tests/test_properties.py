"""What holds of a replica in any schedule of requests and failures."""

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

from .bench import (
    ENTRY,
    Bench,
    adapter,
    check_adapters,
    check_not_run,
    check_one_end,
    check_run_once,
    milliseconds,
)

SETTLING = timedelta(seconds=40)
DELAYS = st.sampled_from([0, 0, 0, 1, 30, 400, 3000])
RUN = st.tuples(
    st.just("run"),
    st.integers(0, 5),
    st.integers(1, 2),
    st.integers(1, 40),
    st.sampled_from(["busy", "busy", "calm"]),
    st.sampled_from(list(PriorityClass)),
    st.sampled_from([50, 2000, 30_000]),
    st.sampled_from(["", "key-1", "key-2"]),
    st.sampled_from([2, 256]),
    DELAYS,
)
ABOUT = st.tuples(
    st.sampled_from(["double", "cancel", "fence", "credit"]),
    st.integers(0, 30),
    DELAYS,
)
PASS = st.tuples(st.just("pass"), st.sampled_from([1, 20, 100, 300, 1200]))
FAULT = st.sampled_from(
    [
        ("restart",),
        ("silent-restart",),
        ("down",),
        ("up",),
        ("fail", 0),
        ("fail", 1),
        ("mend",),
        ("lag", 800),
        ("lag", 0),
        ("claim", (0, 1)),
        ("claim", ()),
        ("claim", None),
        ("pause",),
        ("resume",),
        ("withdraw", "key-1"),
        ("drop-adapter",),
        ("obey",),
    ]
)
FINAL_FAULT = st.sampled_from([("disconnect",), ("lose",), ("fenced",), ("replace",)])
STEPS = st.lists(st.one_of(RUN, RUN, RUN, ABOUT, PASS, PASS, FAULT), max_size=60)


class Schedule:
    """A replica driven by a schedule; everything heals at the end."""

    def __init__(self, slots, batch_size):
        self.bench = Bench(slots, batch_size).start_engine()
        self.clocks = [self.bench.clock]
        self.disconnected = False
        self.first = 0

    def play(self, steps):
        for name, *arguments in steps:
            getattr(self, "do_" + name.replace("-", "_"))(*arguments)
        self.heal()
        return self.bench

    def heal(self):
        bench = self.bench
        bench.clock.resume()
        bench.engine.up = True
        bench.engine.failing.clear()
        bench.engine.lag = timedelta(0)
        bench.engine.claimed = None
        for _ in range(SETTLING // milliseconds(500)):
            for attempt in bench.runs:
                bench.tell(CreditTokens(attempt, 100))
            bench.advance(500)

    def post(self, message, delay):
        bench = self.bench
        replica = bench.replica
        bench.time.schedule(
            bench.time.elapsed + milliseconds(delay),
            bench.clock.run_or_defer,
            replica.peer_message,
            ENTRY,
            message,
        )
        bench.advance(0)

    def do_run(self, number, version, tokens, team, priority, left, key, credit, delay):
        wanted = adapter(number, version) if number else None
        order = self.bench.build_run(
            wanted,
            team,
            tokens,
            priority=priority,
            deadline=milliseconds(left),
            key_record=key,
            credit=credit,
        )
        self.post(order, delay)

    def do_double(self, index, delay):
        self.post_about(index, lambda order: order, delay)

    def do_cancel(self, index, delay):
        self.post_about(index, lambda order: CancelAttempt(order.attempt), delay)

    def do_fence(self, index, delay):
        self.post_about(index, lambda order: FenceAttempt(order.attempt), delay)

    def do_credit(self, index, delay):
        self.post_about(index, lambda order: CreditTokens(order.attempt, 5), delay)

    def post_about(self, index, build, delay):
        orders = list(self.bench.runs.values())[self.first :]
        if orders:
            self.post(build(orders[index % len(orders)]), delay)

    def do_pass(self, count):
        self.bench.advance(count)

    def do_restart(self):
        self.bench.engine.restart()

    def do_silent_restart(self):
        engine = self.bench.engine
        engine.boot += 1
        engine.loaded = []
        for generation in list(engine.running.values()):
            generation.cancel()

    def do_down(self):
        self.bench.engine.up = False

    def do_up(self):
        self.bench.engine.up = True

    def do_fail(self, number):
        self.bench.engine.failing.add(adapter(number + 1))

    def do_mend(self):
        self.bench.engine.failing.clear()

    def do_lag(self, count):
        self.bench.engine.lag = milliseconds(count)

    def do_claim(self, numbers):
        refs = None if numbers is None else [adapter(n) for n in numbers]
        self.bench.engine.claimed = refs

    def do_pause(self):
        self.bench.clock.pause()

    def do_resume(self):
        self.bench.clock.resume()

    def do_withdraw(self, key):
        self.bench.withdrawn.add(key)

    def do_drop_adapter(self):
        engine = self.bench.engine
        used = {generation.order.adapter for generation in engine.running.values()}
        engine.loaded = [found for found in engine.loaded if found in used]

    def do_obey(self):
        self.bench.engine.obeys_fencing = True

    def do_disconnect(self):
        self.disconnected = True
        self.bench.clock.run_or_defer(self.bench.replica.peer_disconnected, ENTRY)

    def do_lose(self):
        self.bench.is_holder = False

    def do_fenced(self):
        self.bench.engine.obeys_fencing = True
        self.bench.engine.fencing = 5

    def do_replace(self):
        """End the process; another one takes the engine over at once.

        Messages name the run of a process, so none to the old one reaches it.
        """
        bench = self.bench
        bench.clock.kill()
        bench.clock = VirtualClock(bench.time)
        bench.engine.clock = bench.clock
        self.disconnected = True
        self.first = len(bench.runs)
        bench.start_engine(fencing=2)


class TestEngineProperties(unittest.TestCase):
    def assert_holds(self, schedule, bench):
        self.assertEqual(bench.engine.evicted_in_use, [])
        self.assertEqual(check_adapters(bench.engine.started, bench.runs), [])
        self.assertEqual(check_run_once(bench.engine.started), [])
        self.assertEqual(check_not_run(bench.sent, bench.engine.started), [])
        for attempt, order in bench.runs.items():
            ends = bench.find(attempt, (GenerationFinished,))
            if ends:
                offsets = [at for at, _ in bench.find_tokens(attempt)]
                self.assertEqual(offsets, list(range(order.max_tokens)))
        if not schedule.disconnected:
            self.assertEqual(check_one_end(bench.sent, bench.runs), [])
            self.assertEqual(bench.replica.describe()["running"], 0)
            self.assertEqual(bench.replica.describe()["queued"], 0)

    @examples(250)
    @given(st.integers(1, 3), st.integers(1, 4), STEPS)
    def test_any_schedule(self, slots, batch_size, steps):
        schedule = Schedule(slots, batch_size)
        self.assert_holds(schedule, schedule.play(steps))

    @examples(150)
    @given(st.integers(1, 3), st.integers(1, 4), STEPS, FINAL_FAULT, STEPS)
    def test_loss_of_the_process_or_its_peer(
        self, slots, batch_size, steps, fault, more
    ):
        schedule = Schedule(slots, batch_size)
        self.assert_holds(schedule, schedule.play([*steps, fault, *more]))

    @examples(60)
    @given(
        st.integers(1, 2),
        st.integers(1, 4),
        st.integers(5, 80),
        st.integers(2, 6),
        st.sampled_from(list(PriorityClass)),
    )
    def test_nobody_starves(self, slots, batch_size, flood, rivals, priority):
        bench = Bench(slots, batch_size, queued_requests=10_000).start_engine()

        def send_flood():
            for number in range(rivals):
                bench.run(
                    adapter(number % 2 + 1),
                    team="busy",
                    tokens=flood,
                    priority=PriorityClass.INTERACTIVE,
                    deadline=timedelta(hours=1),
                )
            bench.time.schedule(
                bench.time.elapsed + milliseconds(flood * 20), send_flood
            )

        send_flood()
        bench.advance(3000)
        attempt = bench.run(
            adapter(9),
            team="calm",
            tokens=2,
            priority=priority,
            deadline=timedelta(hours=1),
        )
        # Two classes of ageing, the pass-over time, and two rounds of the batch.
        bound = 4000 + 500 + 2 * (flood + 2) * 40 + 1500
        bench.advance(bound)
        self.assertIsInstance(bench.find(attempt)[0], GenerationFinished)


CALL_STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("call"), DELAYS, st.sampled_from([20, 5000])),
        st.tuples(st.just("about"), st.integers(0, 30), st.integers(0, 2), DELAYS),
        st.tuples(st.just("pass"), st.sampled_from([1, 4, 6, 50, 1100])),
        st.sampled_from([("up", True), ("up", False), ("lose", True), ("lose", False)]),
        st.sampled_from([("pause",), ("resume",)]),
    ),
    max_size=50,
)


class TestServiceProperties(unittest.TestCase):
    @examples(250)
    @given(CALL_STEPS)
    def test_any_schedule(self, steps):
        bench = Bench(service_concurrency=2).start_service()
        calls = []
        for step in steps:
            self.take_step(bench, calls, step)
        bench.clock.resume()
        bench.service.up = True
        bench.time.advance(SETTLING)
        ran = [request.path for request in bench.service.calls]
        self.assertEqual(len(ran), len(set(ran)))
        self.assertEqual(
            check_one_end(bench.sent, [call.attempt for call in calls]), []
        )
        for call in calls:
            for end in bench.find(call.attempt):
                not_run = isinstance(end, AttemptRefused) or (
                    isinstance(end, AttemptFenced) and not end.handed_over
                )
                if not_run:
                    self.assertNotIn(call.call.path, ran)

    def take_step(self, bench, calls, step):
        name, *arguments = step
        if name == "call":
            delay, left = arguments
            calls.append(self.build_call(bench, left))
            self.post(bench, calls[-1], delay)
        elif name == "about" and calls:
            index, kind, delay = arguments
            call = calls[index % len(calls)]
            about = (call, CancelAttempt(call.attempt), FenceAttempt(call.attempt))
            self.post(bench, about[kind], delay)
        elif name == "pass":
            bench.advance(arguments[0])
        elif name == "up":
            bench.service.up = arguments[0]
        elif name == "lose":
            bench.service.loses_answers = arguments[0]
        elif name == "pause":
            bench.clock.pause()
        elif name == "resume":
            bench.clock.resume()

    @staticmethod
    def build_call(bench, left):
        attempt = bench.build_run().attempt
        request = ServiceRequest("POST", f"/{attempt.number}", (), b"")
        return CallService(
            attempt, "request", "team", "booking", request, False, milliseconds(left)
        )

    @staticmethod
    def post(bench, message, delay):
        bench.time.schedule(
            bench.time.elapsed + milliseconds(delay),
            bench.clock.run_or_defer,
            bench.replica.peer_message,
            ENTRY,
            message,
        )
        bench.advance(0)


class TestCheckers(unittest.TestCase):
    def setUp(self):
        self.bench = Bench().start_engine()
        self.attempt = self.bench.run(adapter(1))
        self.bench.advance(1000)
        self.started = self.bench.engine.started

    def test_sound_history(self):
        bench = self.bench
        self.assertEqual(check_adapters(self.started, bench.runs), [])
        self.assertEqual(check_run_once(self.started), [])
        self.assertEqual(check_not_run(bench.sent, self.started), [])
        self.assertEqual(check_one_end(bench.sent, bench.runs), [])

    def test_wrong_adapter(self):
        runs = {
            self.attempt: RunGeneration(
                self.attempt, "", "team", "base", adapter(1, 2), b"", 3
            )
        }
        self.assertEqual(check_adapters(self.started, runs), self.started)

    def test_run_twice(self):
        self.assertEqual(check_run_once(self.started * 2), [str(self.attempt)])

    def test_refused_and_run(self):
        for lie in (
            AttemptRefused(self.attempt, Cause.DEADLINE),
            AttemptFenced(self.attempt, False),
        ):
            sent = [(ENTRY, lie)]
            self.assertEqual(check_not_run(sent, self.started), [self.attempt])

    def test_no_end_and_two_ends(self):
        sent = self.bench.sent
        self.assertEqual(check_one_end([], [self.attempt]), [self.attempt])
        self.assertEqual(check_one_end(sent * 2, [self.attempt]), [self.attempt])

    def test_eviction_in_use_is_seen_by_the_engine(self):
        self.bench.run(adapter(1), tokens=50)
        self.bench.advance(100)
        self.bench.engine.unload_adapter(adapter(1), 1)
        self.bench.advance(1)
        self.assertEqual(self.bench.engine.evicted_in_use, [adapter(1)])
