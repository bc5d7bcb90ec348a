from balsamspoke_fakes.properties import examples
from hypothesis import given

from .invariants import SEEDS, InvariantCase
from .schedules import NETWORK_FAILURES, draw_schedules


class NetworkFailuresTest(InvariantCase):
    @examples(15)
    @given(draw_schedules(NETWORK_FAILURES), SEEDS)
    def test_under_failures_of_the_network(self, schedule, seed):
        self.run_schedule(schedule, seed)
