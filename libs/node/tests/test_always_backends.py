from balsamspoke_fakes.properties import examples
from hypothesis import given

from .invariants import SEEDS, InvariantCase
from .schedules import BACKEND_FAILURES, draw_schedules


class BackendFailuresTest(InvariantCase):
    @examples(15)
    @given(draw_schedules(BACKEND_FAILURES), SEEDS)
    def test_under_failures_of_backend_servers(self, schedule, seed):
        self.run_schedule(schedule, seed)
