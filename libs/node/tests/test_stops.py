import unittest

from balsamspoke_fakes.properties import examples
from hypothesis import given
from hypothesis import strategies as st

from .checkers import check_invariants
from .fleet import MODEL, SERVICE, Fleet
from .rolling import (
    BalancedLoad,
    RollingReplacement,
    find_incomplete_answers,
    make_lost_entry_check,
)

SEEDS = st.integers(0, 2**16)
REFUSAL_BOUND_SECONDS = 1


def make_loaded_fleet(seed=0, **fleet_options):
    fleet = Fleet(seed, **fleet_options)
    fleet.settle()
    load = BalancedLoad(fleet)
    load.run(2)
    return fleet, load


def find_last_receiver(fleet):
    """Return the VM that the last order was sent to."""
    orders = [
        peer.vm
        for _, peer, message in fleet.network.log
        if type(message).__name__ in ("RunGeneration", "CallService")
    ]
    return orders[-1]


def drain_and_remove(fleet, vm):
    """Drain a process; when drained, stop it at once as the daemon does.

    Its VM is removed with it.
    """
    node = fleet.node(vm)

    def finish(_):
        node.stop()
        fleet.remove_machine(vm)
        fleet.publish_vms()

    node.drain().addBoth(finish)


class PlannedStopTest(unittest.TestCase):
    """A planned stop interrupts no request."""

    def check(self, fleet, is_excused=lambda sent: False):
        fleet.advance(30)
        self.assertEqual(find_incomplete_answers(fleet, is_excused), [])
        self.assertEqual(check_invariants(fleet), [])

    @examples(2)
    @given(SEEDS, st.booleans(), st.sampled_from([0, 3, 8]))
    def test_every_vm_is_replaced_under_load(self, seed, is_listed, lag):
        fleet, load = make_loaded_fleet(seed, engines=2, entries=2)
        fleet.vms.lag = type(fleet.vms.lag)(seconds=lag)
        RollingReplacement(load, is_listed).replace_all()
        self.check(fleet)

    def test_a_stopping_entry_admits_requests_in_its_grace_time(self):
        fleet, _ = make_loaded_fleet()
        entry = fleet.entries()[0]
        ended = []
        running = fleet.complete(entry, "adapter-0", tokens=400)
        fleet.node(entry).drain().addBoth(ended.append)
        self.assertFalse(fleet.node(entry).is_ready)
        fleet.advance(4)
        late = fleet.complete(entry, "adapter-2", tokens=5)
        booking = fleet.book(entry)
        fleet.advance(4)
        self.assertTrue(late.is_whole, late.body)
        self.assertEqual(booking.status, 200)
        self.assertTrue(running.is_open)
        self.assertEqual(ended, [])
        refused = fleet.complete(entry, "adapter-2", tokens=5)
        self.assertEqual((refused.code, refused.outcome), ("stopping", "not-run"))
        fleet.advance(15)
        self.assertTrue(running.is_whole)
        self.assertEqual(ended, [0])

    def test_queued_requests_move_and_running_streams_continue(self):
        fleet = Fleet(engines=2)
        fleet.settle()
        answers = [
            fleet.complete(fleet.entries()[n % 3], "adapter-0", tokens=300)
            for n in range(24)
        ]
        fleet.advance(2)
        vm = fleet.sides()[0]
        ended = []
        fleet.node(vm).drain().addBoth(ended.append)
        fleet.advance(60)
        self.assertEqual(len(ended), 1)
        fleet.node(vm).stop()
        fleet.remove_machine(vm)
        fleet.publish_vms()
        fleet.advance(60)
        self.assertEqual([a.code for a in answers if not a.is_whole], [])
        self.check(fleet)

    def test_an_order_in_transit_to_a_draining_side_process_is_answered(self):
        for number in range(3):
            fleet, _ = make_loaded_fleet(number)
            fleet.advance(10)
            entry = fleet.entries()[number]
            for send in (fleet.book, fleet.complete):
                answer = send(entry)
                vm = find_last_receiver(fleet)
                drain_and_remove(fleet, vm)
                fleet.advance(30)
                self.assertEqual((answer.status, answer.code), (200, None))

    def test_a_draining_side_process_starts_no_replica(self):
        fleet = Fleet(engines=1)
        vm = fleet.sides()[0]
        node = fleet.node(vm)
        node.drain()
        fleet.settle()
        self.assertIsNone(node.replica)

    def test_a_restarted_entry_is_ready_once_it_has_usable_replicas(self):
        fleet, _ = make_loaded_fleet()
        entry = fleet.entries()[0]
        fleet.network.cut_between([entry], fleet.sides() + fleet.sides(SERVICE))
        fleet.restart(entry)
        fleet.advance(1.5)
        self.assertTrue(fleet.node(entry).catalogue.view.is_complete)
        self.assertFalse(fleet.node(entry).is_ready)
        fleet.network.heal()
        while not fleet.node(entry).is_ready:
            fleet.advance(0.1)
        answers = [fleet.complete(entry), fleet.book(entry)]
        fleet.advance(5)
        self.assertEqual([one.status for one in answers], [200, 200])

    def test_a_restarted_entry_is_ready_after_its_timeout_without_replicas(self):
        fleet, _ = make_loaded_fleet()
        for vm in fleet.sides(SERVICE):
            fleet.kill(vm)
        entry = fleet.entries()[0]
        fleet.restart(entry)
        fleet.advance(4)
        self.assertFalse(fleet.node(entry).is_ready)
        fleet.advance(2)
        self.assertTrue(fleet.node(entry).is_ready)

    def test_repeated_drain_calls_all_complete(self):
        """The Deferreds of all ``drain`` calls of a process fire."""
        fleet = Fleet()
        fleet.settle()
        entry = fleet.entries()[0]
        for vm in (entry, fleet.sides()[0]):
            ended = []
            fleet.complete(entry, tokens=400)
            fleet.node(vm).drain().addBoth(ended.append)
            fleet.advance(1)
            fleet.node(vm).drain().addBoth(ended.append)
            fleet.advance(30)
            self.assertEqual(len(ended), 2, vm)

    @examples(2)
    @given(SEEDS, st.sampled_from(["entry", "model", "service"]))
    def test_an_unplanned_failure_elsewhere_touches_only_its_own(self, seed, role):
        """A VM lost during a rolling replacement affects only its own requests."""
        fleet, load = make_loaded_fleet(seed)
        rolling = RollingReplacement(load)
        names = {"entry": fleet.entries(), "model": fleet.sides()}
        victim = names.get(role, fleet.sides(SERVICE))[-1]
        rolling.replace(fleet.entries()[0])
        lost_at = fleet.time.elapsed
        fleet.remove_machine(victim)
        load.check_health()
        fleet.publish_vms()
        rolling.replace(fleet.sides()[0])
        rolling.replace(fleet.sides(SERVICE)[0])
        fleet.advance(30)
        is_excused = make_lost_entry_check(fleet, victim)
        bad = find_incomplete_answers(fleet, is_excused)
        if role == "service":
            # A booking that was sent to the lost VM may have an unknown outcome.
            bad = [
                sent
                for sent in fleet.sent
                if sent.responder.status != 200
                and not (sent.is_booking and sent.responder.outcome == "unknown")
            ]
            self.assertLess(lost_at, fleet.time.elapsed)
        self.assertEqual(bad, [])
        self.assertEqual(check_invariants(fleet), [])

    def test_replicas_that_drain_one_by_one_interrupt_no_request(self):
        fleet, load = make_loaded_fleet(engines=3, services=3)
        rolling = RollingReplacement(load)
        for service in (MODEL, SERVICE):
            for vm in fleet.sides(service)[:-1]:
                rolling.stop(vm)
        self.check(fleet)

    def test_requests_are_refused_as_not_run_while_the_last_replica_drains(self):
        """Later requests are refused as not-run within a second of their arrival."""
        fleet = Fleet(engines=1, services=1)
        fleet.settle()
        entry = fleet.entries()[0]
        running = fleet.complete(entry, "adapter-0", tokens=200)
        fleet.advance(1)
        for service in (MODEL, SERVICE):
            fleet.node(fleet.sides(service)[0]).drain()
        fleet.advance(1)
        refused = [fleet.complete(entry, "adapter-2"), fleet.book(entry)]
        fleet.advance(REFUSAL_BOUND_SECONDS)
        for answer in refused:
            self.assertEqual((answer.code, answer.outcome), ("no_replica", "not-run"))
        fleet.advance(15)
        self.assertTrue(running.is_whole)
        self.assertEqual(check_invariants(fleet), [])
