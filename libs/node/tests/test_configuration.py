import random
import unittest

from balsamspoke_catalogue import encode_object
from balsamspoke_fakes import FakeStore, VirtualClock
from balsamspoke_fakes.properties import examples
from balsamspoke_types.exceptions import StoreError
from balsamspoke_types.objects import Kind, Model, Team
from hypothesis import given
from hypothesis import strategies as st

from .checkers import find_reverts
from .fleet import MODEL, Fleet

IN_FORCE_BOUND_SECONDS = 6
OPERATORS = 3
# Entry processes have both objects in their catalogue, side processes only the model.
OBJECTS = ((Kind.TEAM, "hotel"), (Kind.MODEL, MODEL))


class OperatorClient:
    """A client that changes objects by conditional writes, as balsamspokectl does."""

    def __init__(self, fleet, number):
        clock = VirtualClock(fleet.time)
        self.store = FakeStore(fleet.store, clock, random.Random(number))
        self.store.lost_reply_rate = 0.3 if number else 0.0

    def change(self, object_id, value):
        reading = self.store.read(*object_id)
        reading.addCallback(self._update, object_id, value)
        reading.addErrback(lambda failure: failure.trap(StoreError))

    def _update(self, found, object_id, value):
        return self.store.update(*object_id, encode_object(value), found.version)


def make_value(object_id, number):
    """Return a value for an object that differs with the number."""
    if object_id[0] is Kind.TEAM:
        return Team("hotel", 1000.0 + number, 10**6)
    return Model(MODEL, adapter_slots=4, batch_size=8, default_max_tokens=16 + number)


def find_outdated_processes(fleet, versions):
    """Return the running processes that lack the given version of an object."""
    return [
        f"{vm}: {object_id} is at "
        f"{machine.node.catalogue.view.get_current_version(*object_id)}"
        for vm, machine in fleet.machines.items()
        if machine.is_running
        for object_id, version in versions.items()
        if object_id[0] in machine.kinds
        and (machine.node.catalogue.view.get_current_version(*object_id) or 0) < version
    ]


def isolate_from_store(fleet, vm):
    store = fleet.machines[vm].store
    store.reachable = False
    store.end_watches()


def make_reads_stale(fleet, vm):
    fleet.machines[vm].store.stale_reads = 5


def lose_events(fleet, vm):
    fleet.machines[vm].store.lost_event_rate = 1.0


def restart_during_outage(fleet, vm):
    """Restart a process that can load its catalogue only from peers for 10 s."""
    fleet.store.available = False
    for machine in fleet.machines.values():
        machine.store.end_watches()
    fleet.restart(vm)
    fleet.advance(10)
    fleet.store.available = True


def restart_with_stale_reads(fleet, vm):
    fleet.restart(vm)
    make_reads_stale(fleet, vm)
    fleet.advance(10)


def duplicate_messages(fleet, vm):
    fleet.network.duplicate_rate = 0.5


def do_nothing(fleet, vm):
    """Inject no fault."""


FAULTS = (
    do_nothing,
    isolate_from_store,
    make_reads_stale,
    lose_events,
    restart_during_outage,
    restart_with_stale_reads,
    duplicate_messages,
)


class ConfigurationTest(unittest.TestCase):
    """An accepted change is in force everywhere in time and never reverts."""

    @examples(24)
    @given(
        st.sampled_from(FAULTS),
        st.integers(0, 5),
        st.lists(
            st.tuples(st.integers(0, OPERATORS - 1), st.sampled_from(OBJECTS)),
            min_size=2,
            max_size=8,
        ),
        st.integers(0, 2**16),
    )
    def test_accepted_changes_are_in_force(self, inject_fault, chosen, changes, seed):
        fleet = Fleet(seed, engines=2, services=1, adapters=2)
        fleet.settle()
        operators = [OperatorClient(fleet, number) for number in range(OPERATORS)]
        vm = list(fleet.machines)[chosen % len(fleet.machines)]
        inject_fault(fleet, vm)
        for number, (operator, object_id) in enumerate(changes):
            operators[operator].change(object_id, make_value(object_id, number))
            fleet.advance(0.001 * (number % 3))
        fleet.advance(0.01)
        accepted = {
            object_id: fleet.store.objects[object_id].version for object_id in OBJECTS
        }
        fleet.advance(IN_FORCE_BOUND_SECONDS)
        self.assertEqual(find_outdated_processes(fleet, accepted), [])
        fleet.advance(30)
        self.assertEqual(find_outdated_processes(fleet, accepted), [])
        self.assertEqual(find_reverts(fleet), [])

    def test_only_one_of_two_concurrent_changes_is_accepted(self):
        fleet = Fleet(engines=1, services=1, adapters=2)
        fleet.settle()
        before = len([one for one in fleet.store.history if one.kind is Kind.TEAM])
        operators = [OperatorClient(fleet, 0), OperatorClient(fleet, 0)]
        for number, operator in enumerate(operators):
            operator.change(OBJECTS[0], make_value(OBJECTS[0], number))
        fleet.advance(IN_FORCE_BOUND_SECONDS)
        after = len([one for one in fleet.store.history if one.kind is Kind.TEAM])
        self.assertEqual(after - before, 1)
        for vm in fleet.entries():
            team = fleet.node(vm).catalogue.view.team("hotel")
            self.assertEqual(team.rate, 1000.0)
