"""Generated schedules of requests and failures, checked against every promise."""

import unittest
from datetime import timedelta

from balsamspoke_fakes.properties import examples
from hypothesis import given
from hypothesis import strategies as st

from tests.checkers import check_all
from tests.world import World

RATES = (0.0, 0.05, 0.3)
JITTERS = (timedelta(0), timedelta(milliseconds=5), timedelta(seconds=4))
DELAYS = (0.0, 0.0015, 0.01, 0.05, 0.2, 1.5, 3.0)
KEYS = ("k0", "k1", "k2")


def generate(world, number):
    world.generate(entry=number, tokens=(5, 40, 120)[number % 3])


def call_with_key(world, number):
    deadline = (0.3, 3.0, 30.0)[number % 3]
    world.call(entry=number // 3, key=KEYS[number % 3], deadline=deadline)


def call_without_key(world, number):
    world.call(entry=number)


def call_idempotent(world, number):
    world.call(entry=number, idempotent=True)


def cancel(world, number):
    for run in world.runs[-1 - number % 3 :][:1]:
        for found in run:
            found.cancel()


def pick(processes, number):
    return processes[number % len(processes)]


def restart_side(world, number):
    pick(world.sides, number).restart()


def restart_entry(world, number):
    pick(world.entries, number).restart()


def pause(world, number):
    pick(world.sides + world.entries, number).clock.pause()


def resume(world, number):
    for process in world.sides + world.entries:
        process.clock.resume()


def fail_engine(world, number):
    pick(world.sides, number).fail_running()


def toggle_busy(world, number):
    side = pick(world.sides, number)
    side.busy = not side.busy


def lose_answers(world, number):
    side = pick(world.sides, number)
    side.loses_answers = not side.loses_answers


def cut_off(world, number):
    side = pick(world.sides, number).vm
    entry = pick(world.entries, number // 2).vm
    ways = ({(side, entry)}, {(entry, side)}, {(side, entry), (entry, side)})
    world.network.cut ^= ways[number % 3]


def lose_messages(world, number):
    world.network.loss_rate = RATES[number % 3]


def double_messages(world, number):
    world.network.duplicate_rate = RATES[number % 3]


def reorder_messages(world, number):
    world.network.jitter = JITTERS[number % 3]


def toggle_store(world, number):
    world.store_state.available = not world.store_state.available


def lose_replies(world, number):
    pick(world.entries, number).store.lost_reply_rate = RATES[number % 3]


def read_stale(world, number):
    pick(world.entries, number).store.stale_reads = number % 3


def slow_store(world, number):
    delay = (0.001, 0.9, 2.0)[number % 3]
    pick(world.entries, number).store.delay = timedelta(seconds=delay)


REQUESTS = (generate, call_with_key, call_with_key, call_without_key, call_idempotent)
FAILURES = (
    cancel,
    restart_side,
    restart_entry,
    pause,
    resume,
    fail_engine,
    toggle_busy,
    lose_answers,
    cut_off,
    lose_messages,
    double_messages,
    reorder_messages,
    toggle_store,
    lose_replies,
    read_stale,
    slow_store,
)
STEP = st.tuples(
    st.one_of(st.sampled_from(REQUESTS), st.sampled_from(FAILURES)),
    st.integers(0, 11),
    st.sampled_from(DELAYS),
)


def run_schedule(steps, seed):
    world = World(seed)
    for act, number, delay in steps:
        act(world, number)
        world.advance(delay)
    world.heal()
    world.advance(60)
    return world


class ScheduleTest(unittest.TestCase):
    @examples(160)
    @given(st.lists(STEP, min_size=2, max_size=25), st.integers(0, 1000))
    def test_promises_hold_under_failures(self, steps, seed):
        world = run_schedule(steps, seed)
        check_all(world.traces, world.hand_overs)
        for entry in world.entries:
            self.assertEqual(entry.runner.outstanding, 0)

    @examples(120)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(
                    (
                        call_with_key,
                        pause,
                        resume,
                        restart_entry,
                        toggle_busy,
                        lose_replies,
                        toggle_store,
                        read_stale,
                        slow_store,
                        restart_side,
                    )
                ),
                st.integers(0, 11),
                st.sampled_from(DELAYS),
            ),
            min_size=4,
            max_size=25,
        ),
        st.integers(0, 1000),
    )
    def test_racing_repeats_run_once(self, steps, seed):
        world = run_schedule(steps, seed)
        check_all(world.traces, world.hand_overs)
