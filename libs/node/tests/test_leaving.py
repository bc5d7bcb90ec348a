import unittest
from datetime import timedelta

from balsamspoke_fakes.properties import examples
from balsamspoke_membership import MembershipSettings
from hypothesis import given
from hypothesis import strategies as st

from .checkers import check_invariants, find_starts_after_leaving
from .fleet import MODEL, SERVICE, Fleet
from .rolling import BalancedLoad, find_incomplete_answers

SEEDS = st.integers(0, 2**16)
LAGS = st.sampled_from([0, 3, 8])
MESSAGE_DELAY_BOUND = timedelta(milliseconds=50)
DRAIN_BOUND = timedelta(0)


def get_vm_list_bound(lag):
    """Return the longest time until a leaving state in the VM list takes effect."""
    return (
        timedelta(seconds=lag)
        + MembershipSettings().list_interval
        + MESSAGE_DELAY_BOUND
    )


class LeavingBackendTest(unittest.TestCase):
    """A leaving backend server gets no new work after the documented time."""

    def check(
        self, seed, service, bound, lag, announce_leaving, cut=lambda fleet, vm: None
    ):
        fleet = Fleet(seed, engines=2)
        fleet.settle()
        fleet.vms.lag = timedelta(seconds=lag)
        load = BalancedLoad(fleet)
        load.run(2)
        vm = fleet.sides(service)[seed % 2]
        backend = fleet.machines[vm].backend
        cut(fleet, vm)
        for number in range(24):
            # More requests than the engines' batches hold, so that some are queued.
            name = f"adapter-{number % 8}"
            key = f"{fleet.find_owner(name)}-key"
            fleet.complete(fleet.entries()[number % 3], name, key, tokens=60)
        load.run(0.5)
        before = len(backend.starts)
        self.assertGreater(before, 0)
        leaving_at = fleet.time.elapsed
        announce_leaving(fleet, vm)
        load.run(14)
        self.assertEqual(find_starts_after_leaving(backend, leaving_at, bound), [])
        others = [
            fleet.machines[one].backend for one in fleet.sides(service) if one != vm
        ]
        started = [at for one in others for at, _ in one.starts]
        self.assertGreater(max(started), leaving_at + bound)
        fleet.advance(30)
        self.assertEqual(find_incomplete_answers(fleet), [])
        self.assertEqual(check_invariants(fleet), [])

    @examples(1)
    @given(SEEDS, st.sampled_from([MODEL, SERVICE]), LAGS)
    def test_announced_by_the_vm_list_only(self, seed, service, lag):
        self.check(seed, service, get_vm_list_bound(lag), lag, Fleet.mark_leaving)

    @examples(1)
    @given(SEEDS, st.sampled_from([MODEL, SERVICE]))
    def test_announced_by_the_side_process_only(self, seed, service):
        self.check(seed, service, DRAIN_BOUND, 0, drain_side_process)

    @examples(1)
    @given(SEEDS, st.sampled_from([MODEL, SERVICE]), LAGS)
    def test_announced_by_both(self, seed, service, lag):
        def announce_leaving(fleet, vm):
            fleet.mark_leaving(vm)
            drain_side_process(fleet, vm)

        self.check(seed, service, DRAIN_BOUND, lag, announce_leaving)

    @examples(1)
    @given(SEEDS, st.sampled_from([MODEL, SERVICE]), LAGS)
    def test_with_entries_cut_from_the_vm_list(self, seed, service, lag):
        def cut(fleet, _vm):
            for entry in fleet.entries():
                fleet.machines[entry].vm_list.reachable = False

        bound = get_vm_list_bound(lag)
        self.check(seed, service, bound, lag, Fleet.mark_leaving, cut)

    @examples(1)
    @given(SEEDS)
    def test_with_the_side_process_cut_from_the_vm_list(self, seed):
        """Test the entries alone: no requests are queued at a plain service."""

        def cut(fleet, vm):
            fleet.machines[vm].vm_list.reachable = False

        bound = get_vm_list_bound(0)
        self.check(seed, SERVICE, bound, 0, Fleet.mark_leaving, cut)


def drain_side_process(fleet, vm):
    fleet.node(vm).drain()
