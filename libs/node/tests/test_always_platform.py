from balsamspoke_fakes.properties import examples
from hypothesis import given

from .invariants import SEEDS, InvariantCase
from .schedules import PLATFORM_FAILURES, draw_schedules


class PlatformFailuresTest(InvariantCase):
    @examples(15)
    @given(draw_schedules(PLATFORM_FAILURES), SEEDS)
    def test_under_failures_of_the_platform(self, schedule, seed):
        self.run_schedule(schedule, seed)
