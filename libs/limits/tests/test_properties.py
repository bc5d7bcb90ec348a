import unittest

from balsamspoke_fakes.properties import examples
from hypothesis import given
from hypothesis import strategies as st

from .fleet import Fleet, make_limits
from .schedules import STEPS, run_schedule


class BudgetProperties(unittest.TestCase):
    @given(STEPS, st.integers(0, 1 << 16))
    @examples(12)
    def test_no_window_has_more_than_rate_and_burst(self, steps, seed):
        fleet = Fleet(3, seed, make_limits())
        run_schedule(fleet, steps)
        self.assertEqual(fleet.find_excess(), {})
        self.assertEqual(fleet.overheld, [])
        self.assertEqual(fleet.count_units(), {0: 12, 1: 12})
