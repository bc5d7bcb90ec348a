from balsamspoke_fakes.properties import examples
from hypothesis import given

from .invariants import SEEDS, InvariantCase
from .schedules import ALL_FAILURES, draw_schedules


class AllFailuresTest(InvariantCase):
    @examples(20)
    @given(draw_schedules(*ALL_FAILURES, size=60), SEEDS)
    def test_under_all_failures_together(self, schedule, seed):
        self.run_schedule(schedule, seed)
