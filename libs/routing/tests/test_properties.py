"""Property tests: random schedules of requests and failures keep all guarantees."""

import unittest
from datetime import timedelta

from balsamspoke_fakes.properties import examples
from hypothesis import given
from hypothesis import strategies as st

from tests.checkers import check_all
from tests.simulation import Simulation

RATES = (0.0, 0.05, 0.3)
JITTERS = (timedelta(0), timedelta(milliseconds=5), timedelta(seconds=4))
DELAYS = (0.0, 0.0015, 0.01, 0.05, 0.2, 1.5, 3.0)
KEYS = ("k0", "k1", "k2")


def generate(simulation, number):
    simulation.generate(entry=number, tokens=(5, 40, 120)[number % 3])


def call_with_key(simulation, number):
    deadline = (0.3, 3.0, 30.0)[number % 3]
    simulation.call(entry=number // 3, key=KEYS[number % 3], deadline=deadline)


def call_without_key(simulation, number):
    simulation.call(entry=number)


def call_idempotent(simulation, number):
    simulation.call(entry=number, idempotent=True)


def cancel(simulation, number):
    for run in simulation.runs[-1 - number % 3 :][:1]:
        for request_run in run:
            request_run.cancel()


def select(processes, number):
    return processes[number % len(processes)]


def restart_side(simulation, number):
    select(simulation.side_processes, number).restart()


def restart_entry(simulation, number):
    select(simulation.entries, number).restart()


def pause(simulation, number):
    select(simulation.side_processes + simulation.entries, number).clock.pause()


def resume(simulation, number):
    for process in simulation.side_processes + simulation.entries:
        process.clock.resume()


def fail_engine(simulation, number):
    select(simulation.side_processes, number).fail_running()


def toggle_busy(simulation, number):
    side = select(simulation.side_processes, number)
    side.is_busy = not side.is_busy


def lose_answers(simulation, number):
    side = select(simulation.side_processes, number)
    side.has_lossy_backend = not side.has_lossy_backend


def toggle_partition(simulation, number):
    side = select(simulation.side_processes, number).vm
    entry = select(simulation.entries, number // 2).vm
    partitions = ({(side, entry)}, {(entry, side)}, {(side, entry), (entry, side)})
    simulation.network.cut ^= partitions[number % 3]


def lose_messages(simulation, number):
    simulation.network.loss_rate = RATES[number % 3]


def duplicate_messages(simulation, number):
    simulation.network.duplicate_rate = RATES[number % 3]


def reorder_messages(simulation, number):
    simulation.network.jitter = JITTERS[number % 3]


def toggle_store_outage(simulation, number):
    simulation.store_state.available = not simulation.store_state.available


def lose_replies(simulation, number):
    select(simulation.entries, number).store.lost_reply_rate = RATES[number % 3]


def read_stale(simulation, number):
    select(simulation.entries, number).store.stale_reads = number % 3


def slow_store(simulation, number):
    delay = (0.001, 0.9, 2.0)[number % 3]
    select(simulation.entries, number).store.delay = timedelta(seconds=delay)


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
    toggle_partition,
    lose_messages,
    duplicate_messages,
    reorder_messages,
    toggle_store_outage,
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
    simulation = Simulation(seed)
    for action, number, delay in steps:
        action(simulation, number)
        simulation.advance(delay)
    simulation.end_failures()
    simulation.advance(60)
    return simulation


class ScheduleTest(unittest.TestCase):
    @examples(160)
    @given(st.lists(STEP, min_size=2, max_size=25), st.integers(0, 1000))
    def test_promises_hold_under_failures(self, steps, seed):
        simulation = run_schedule(steps, seed)
        check_all(simulation.traces, simulation.hand_overs)
        for entry in simulation.entries:
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
                        toggle_store_outage,
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
        simulation = run_schedule(steps, seed)
        check_all(simulation.traces, simulation.hand_overs)
