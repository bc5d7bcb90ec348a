"""The one property of all schedules: what must always hold, holds."""

import unittest

from hypothesis import strategies as st

from .checkers import check_invariants, find_stale_views, find_unanswered
from .fleet import Fleet
from .schedules import ScheduleDriver

SEEDS = st.integers(0, 2**16)


class InvariantCase(unittest.TestCase):
    """Run a schedule, heal, and check everything that must always hold."""

    def run_schedule(self, schedule, seed):
        fleet = Fleet(seed)
        fleet.settle()
        driver = ScheduleDriver(fleet)
        driver.run(schedule)
        driver.heal()
        violations = check_invariants(fleet)
        violations += find_unanswered(fleet)
        violations += find_stale_views(fleet)
        self.assertEqual(violations, [])
