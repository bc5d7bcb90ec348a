import unittest

from balsamspoke_fakes.properties import examples
from hypothesis import given
from hypothesis import strategies as st

from .spending import BURST, RATE, SCHEDULES, SpendingDriver, SpendingFleet

FLOOD_SECONDS = 20
HIDDEN_SECONDS = 60


class BudgetTest(unittest.TestCase):
    """No team uses more than its rate and burst over all VMs together."""

    def test_a_flood_uses_most_of_the_budget_and_no_more(self):
        fleet = SpendingFleet()
        fleet.settle(40)
        fleet.flood(FLOOD_SECONDS, tokens=5)
        self.assertIsNone(fleet.find_excess())
        used = sum(use.used for use in fleet.list_uses())
        self.assertGreater(used, 0.8 * (BURST + FLOOD_SECONDS * RATE))

    def test_a_lowered_limit_is_not_exceeded(self):
        fleet = SpendingFleet()
        fleet.settle(40)
        fleet.change_limits(5.0, 50)
        fleet.flood(FLOOD_SECONDS, tokens=5)
        self.assertEqual(fleet.limit_changes[-1].rate, 5.0)
        self.assertIsNone(fleet.find_excess())

    def test_the_share_of_a_live_entry_missing_from_the_vm_list_is_not_spent_twice(
        self,
    ):
        """Its share of the budget passes to others only after it has stopped."""
        fleet = SpendingFleet()
        fleet.settle(40)
        driver = SpendingDriver(fleet)
        driver.hidden.add(fleet.entries()[0])
        driver.publish()
        fleet.machines[fleet.entries()[0]].store.reachable = False
        fleet.flood(HIDDEN_SECONDS, tokens=5)
        self.assertIsNone(fleet.find_excess())

    @examples(6)
    @given(SCHEDULES, st.integers(0, 2**16))
    def test_any_window_under_failures(self, schedule, seed):
        fleet = SpendingFleet(seed)
        fleet.settle(30)
        SpendingDriver(fleet).run(schedule)
        fleet.flood(FLOOD_SECONDS, tokens=40)
        self.assertIsNone(fleet.find_excess())
