"""Base test case for the invariants under schedules of failures."""

import unittest

from hypothesis import strategies as st

from .checkers import check_invariants, find_stale_views, find_unanswered
from .fleet import Fleet
from .schedules import ScheduleDriver

SEEDS = st.integers(0, 2**16)


class InvariantCase(unittest.TestCase):
    """Run a schedule, end all failures, and check the invariants and the recovery."""

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
