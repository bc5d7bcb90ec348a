from balsamspoke_fakes.properties import examples
from hypothesis import given

from .invariants import SEEDS, InvariantCase
from .schedules import PROCESS_FAILURES, draw_schedules


class ProcessFailuresTest(InvariantCase):
    @examples(15)
    @given(draw_schedules(PROCESS_FAILURES), SEEDS)
    def test_under_failures_of_processes(self, schedule, seed):
        self.run_schedule(schedule, seed)
