from balsamspoke_fakes.properties import examples
from hypothesis import given

from .always import SEEDS, AlwaysCase
from .schedules import BACKEND_FAILURES, draw_schedules


class BackendFailuresTest(AlwaysCase):
    @examples(15)
    @given(draw_schedules(BACKEND_FAILURES), SEEDS)
    def test_under_failures_of_backend_servers(self, schedule, seed):
        self.run_schedule(schedule, seed)
