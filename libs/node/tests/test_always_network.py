from balsamspoke_fakes.properties import examples
from hypothesis import given

from .always import SEEDS, AlwaysCase
from .schedules import NETWORK_FAILURES, draw_schedules


class NetworkFailuresTest(AlwaysCase):
    @examples(15)
    @given(draw_schedules(NETWORK_FAILURES), SEEDS)
    def test_under_failures_of_the_network(self, schedule, seed):
        self.run_schedule(schedule, seed)
