import unittest
from datetime import timedelta

from balsamspoke_limits import Limits, Reservation
from balsamspoke_types.messages import ReserveTokens
from balsamspoke_types.outcomes import Cause

from .fleet import QUICK_SETTINGS, Fleet, make_limits


def seconds(number):
    return timedelta(seconds=number)


class FleetTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(3, 1, make_limits())

    def count_refusals(self):
        return sum(len(entry.refusals) for entry in self.fleet.entries.values())

    def check(self, units=24):
        self.assertEqual(self.fleet.find_excess(), {})
        self.assertEqual(self.fleet.overheld, [])
        self.assertEqual(sum(self.fleet.count_units().values()), units)

    def test_units_are_divided_evenly(self):
        for entry in self.fleet.entries.values():
            self.fleet.time.advance(seconds(20))
            held = [status.units for status in entry.budgets.describe()]
            self.assertEqual(held, [4, 4])

    def test_joining_entry_gets_its_part_and_then_writes_stop(self):
        self.fleet.start_entry("vm-3")
        self.fleet.show_vms()
        self.fleet.time.advance(seconds(30))
        held = [
            status.units
            for entry in self.fleet.entries.values()
            for status in entry.budgets.describe()
        ]
        self.assertEqual(held, [3] * 8)
        writes = self.fleet.objects.revision
        self.fleet.time.advance(seconds(120))
        self.assertEqual(self.fleet.objects.revision, writes)

    def test_one_entry_can_use_the_whole_burst(self):
        self.fleet.time.advance(seconds(30))
        entry = self.fleet.find_entry(0)
        entry.call("small", 190, 190, seconds(1))
        self.fleet.time.advance(seconds(1))
        self.assertEqual([use.amount for use in self.fleet.uses], [190])
        entry.call("small", 190, 190, seconds(1))
        self.fleet.time.advance(seconds(1))
        refused = entry.refusals[0][1]
        self.assertEqual(refused.cause, Cause.OVER_LIMIT)
        self.assertAlmostEqual(refused.retry_after.total_seconds(), 3.6, delta=0.2)
        self.fleet.time.advance(refused.retry_after)
        entry.call("small", 190, 190, seconds(1))
        self.fleet.time.advance(seconds(1))
        self.assertEqual(len(self.fleet.uses), 2)

    def test_late_grant_is_returned_unused(self):
        self.fleet.time.advance(seconds(30))
        entry = self.fleet.find_entry(0)
        entry.call("small", 190, 190, seconds(1))
        entry.clock.pause()
        self.fleet.time.advance(2 * QUICK_SETTINGS.grant_lifetime)
        entry.clock.resume()
        self.assertEqual(entry.refusals[0][1].cause, Cause.BUDGET_UNAVAILABLE)
        self.fleet.time.advance(seconds(1))
        entry.call("small", 190, 190, seconds(1))
        self.fleet.time.advance(seconds(1))
        self.assertEqual([use.amount for use in self.fleet.uses], [190])

    def test_duplicated_messages_take_and_return_tokens_once(self):
        self.fleet.time.advance(seconds(30))
        self.fleet.network.duplicate_rate = 1.0
        entry = self.fleet.find_entry(0)
        for _ in range(2):
            entry.call("small", 190, 100, seconds(0.1))
            self.fleet.time.advance(seconds(0.2))
        self.fleet.time.advance(seconds(1))
        # 90 tokens were returned once, so the second call found 98 and the refill.
        self.assertEqual([use.amount for use in self.fleet.uses], [190])
        self.assertEqual(len(entry.refusals), 1)

    def test_repeated_loan_request_takes_tokens_once(self):
        self.fleet.time.advance(seconds(30))
        borrower = self.fleet.find_entry(1).process
        budgets = self.fleet.find_entry(0).budgets
        for _ in range(2):
            budgets.peer_message(borrower, ReserveTokens(1000, "small", 20))
        # The repeated request took 20 of the 66 tokens at this entry once: 46 are left.
        reserved = budgets.reserve("small", 46)
        self.assertTrue(reserved.called)
        self.assertIsInstance(reserved.result, Reservation)

    def test_reservation_is_settled_once(self):
        self.fleet.time.advance(seconds(30))
        budgets = self.fleet.find_entry(0).budgets
        reservation = budgets.reserve("small", 60).result
        reservation.settle(60)
        reservation.settle(0)
        refused = budgets.reserve("small", 190)
        refused.addErrback(lambda failure: failure.value.cause)
        self.fleet.time.advance(seconds(0.1))
        self.assertEqual(refused.result, Cause.OVER_LIMIT)

    def test_refusals_name_their_cause(self):
        entry = self.fleet.find_entry(0)
        entry.call("nobody", 1, 1, seconds(1))
        entry.call("small", 201, 1, seconds(1))
        causes = [refused.cause for _, refused in entry.refusals]
        self.assertEqual(causes, [Cause.NOT_ALLOWED, Cause.LARGER_THAN_BURST])
        self.assertIsNone(entry.refusals[1][1].retry_after)

    def test_no_lease_expires_in_ten_minutes_without_object_api(self):
        self.fleet.time.advance(seconds(20))
        self.fleet.objects.available = False
        self.fleet.run(seconds(600))
        self.check()
        self.fleet.objects.available = True
        self.fleet.run(seconds(30))
        self.check()

    def test_restarted_process_takes_over_the_units_of_its_vm(self):
        self.fleet.run(seconds(10))
        self.fleet.restart(0)
        self.fleet.run(seconds(3))
        self.check()

    def test_units_of_a_lost_vm_are_reclaimed(self):
        self.fleet.run(seconds(10))
        self.fleet.replace(0)
        self.fleet.run(QUICK_SETTINGS.reclaim_wait)
        self.check(units=16)
        self.fleet.run(seconds(15))
        self.check()

    def test_isolated_live_holder_stops_granting_before_its_units_are_reclaimed(self):
        self.fleet.run(seconds(10))
        self.fleet.isolate(0)
        self.fleet.run(QUICK_SETTINGS.reclaim_wait + seconds(20))
        self.check()
        self.assertEqual(sum(s.units for s in self.usable_shares(0)), 0)
        self.fleet.isolate(0, False)
        self.fleet.run(seconds(30))
        self.check()
        self.assertEqual(sum(s.units for s in self.usable_shares(0)), 8)

    def test_vm_list_alone_does_not_renew_an_expired_lease(self):
        self.fleet.run(seconds(10))
        self.fleet.isolate(0)
        self.fleet.run(QUICK_SETTINGS.reclaim_wait + seconds(20))
        self.fleet.hide("vm-0", False)
        self.fleet.run(seconds(10))
        # The other processes released its share of the units again, but it can't claim
        # them without the object API.
        self.check(units=16)
        self.assertEqual(self.usable_shares(0), [])

    def test_holder_without_object_api_and_vm_list_stops_granting(self):
        self.fleet.run(seconds(10))
        entry = self.fleet.find_entry(0)
        entry.store.reachable = entry.vm_list.reachable = False
        self.fleet.run(QUICK_SETTINGS.lease_duration + seconds(1))
        self.assertEqual(self.usable_shares(0), [])

    def test_holder_without_vm_list_keeps_its_lease(self):
        self.fleet.run(seconds(10))
        self.fleet.vms.available = False
        self.fleet.run(seconds(60))
        self.check()

    def test_hidden_live_holder_keeps_its_lease_while_the_object_api_answers(self):
        self.fleet.run(seconds(10))
        self.fleet.hide("vm-0")
        self.fleet.run(seconds(60))
        self.check()
        self.assertEqual(sum(s.units for s in self.usable_shares(0)), 8)

    def test_lease_of_a_paused_holder_expires_before_its_next_grant(self):
        self.fleet.run(seconds(10))
        entry = self.fleet.find_entry(0)
        entry.clock.pause()
        self.fleet.hide("vm-0")
        self.fleet.run(QUICK_SETTINGS.reclaim_wait + seconds(20))
        entry.clock.resume()
        self.assertEqual(self.usable_shares(0), [])
        self.fleet.run(seconds(5))
        self.check()

    def test_lowered_limit_holds_at_once(self):
        self.fleet.run(seconds(5))
        self.fleet.time.advance(seconds(30))
        self.fleet.change_limits("large", Limits(4, 60))
        self.fleet.run(seconds(20))
        self.fleet.change_limits("large", Limits(400, 600))
        self.fleet.run(seconds(20))
        self.check()

    def test_planned_stop_releases_units(self):
        self.fleet.run(seconds(10))
        entry = self.fleet.entries.pop("vm-0")
        done = entry.budgets.release_units()
        self.fleet.show_vms()
        self.fleet.run(seconds(1))
        self.assertTrue(done.called)
        entry.clock.kill()
        self.fleet.run(seconds(5))
        self.check()

    def test_release_during_an_outage_times_out(self):
        self.fleet.objects.available = False
        done = self.fleet.find_entry(0).budgets.release_units()
        self.fleet.time.advance(QUICK_SETTINGS.release_timeout + seconds(1))
        self.assertTrue(done.called)

    def usable_shares(self, choice):
        described = self.fleet.find_entry(choice).budgets.describe()
        return [status for status in described if status.usable]
