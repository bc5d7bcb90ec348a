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

IN_FORCE_SECONDS = 6
OPERATORS = 3
# Teams are known to entry processes only, models to side processes as well.
PLACES = ((Kind.TEAM, "hotel"), (Kind.MODEL, MODEL))


class Operator:
    """Change objects by conditional writes, as the tool does."""

    def __init__(self, fleet, number):
        clock = VirtualClock(fleet.time)
        self.store = FakeStore(fleet.store, clock, random.Random(number))
        self.store.lost_reply_rate = 0.3 if number else 0.0

    def change(self, place, value):
        reading = self.store.read(*place)
        reading.addCallback(self._update, place, value)
        reading.addErrback(lambda failure: failure.trap(StoreError))

    def _update(self, found, place, value):
        return self.store.update(*place, encode_object(value), found.version)


def make_value(place, number):
    """Return a value for a place that differs with the number."""
    if place[0] is Kind.TEAM:
        return Team("hotel", 1000.0 + number, 10**6)
    return Model(MODEL, adapter_slots=4, batch_size=8, default_max_tokens=16 + number)


def find_missing(fleet, versions):
    """Give the running processes that lack a version of an object."""
    return [
        f"{vm}: {place} is at {machine.node.catalogue.view.version_of(*place)}"
        for vm, machine in fleet.machines.items()
        if machine.is_running
        for place, version in versions.items()
        if place[0] in machine.kinds
        and (machine.node.catalogue.view.version_of(*place) or 0) < version
    ]


def cut_off(fleet, vm):
    store = fleet.machines[vm].store
    store.reachable = False
    store.end_watches()


def read_old_views(fleet, vm):
    fleet.machines[vm].store.stale_reads = 5


def lose_events(fleet, vm):
    fleet.machines[vm].store.lost_event_rate = 1.0


def restart_in_an_outage(fleet, vm):
    """Start a process that can learn from its peers only, for a while."""
    fleet.store.available = False
    for machine in fleet.machines.values():
        machine.store.end_watches()
    fleet.restart(vm)
    fleet.advance(10)
    fleet.store.available = True


def restart_with_old_views(fleet, vm):
    fleet.restart(vm)
    read_old_views(fleet, vm)
    fleet.advance(10)


def double_messages(fleet, vm):
    fleet.network.duplicate_rate = 0.5


def do_nothing(fleet, vm):
    """Leave all in order."""


DISTURBANCES = (
    do_nothing,
    cut_off,
    read_old_views,
    lose_events,
    restart_in_an_outage,
    restart_with_old_views,
    double_messages,
)


class ConfigurationTest(unittest.TestCase):
    """What was accepted is in force everywhere in time, and never reverts."""

    @examples(24)
    @given(
        st.sampled_from(DISTURBANCES),
        st.integers(0, 5),
        st.lists(
            st.tuples(st.integers(0, OPERATORS - 1), st.sampled_from(PLACES)),
            min_size=2,
            max_size=8,
        ),
        st.integers(0, 2**16),
    )
    def test_accepted_changes_are_in_force(self, disturb, chosen, changes, seed):
        fleet = Fleet(seed, engines=2, services=1, adapters=2)
        fleet.settle()
        operators = [Operator(fleet, number) for number in range(OPERATORS)]
        vm = list(fleet.machines)[chosen % len(fleet.machines)]
        disturb(fleet, vm)
        for number, (operator, place) in enumerate(changes):
            operators[operator].change(place, make_value(place, number))
            fleet.advance(0.001 * (number % 3))
        fleet.advance(0.01)
        accepted = {place: fleet.store.objects[place].version for place in PLACES}
        fleet.advance(IN_FORCE_SECONDS)
        self.assertEqual(find_missing(fleet, accepted), [])
        fleet.advance(30)
        self.assertEqual(find_missing(fleet, accepted), [])
        self.assertEqual(find_reverts(fleet), [])

    def test_the_loser_of_a_race_changes_nothing(self):
        fleet = Fleet(engines=1, services=1, adapters=2)
        fleet.settle()
        before = len([one for one in fleet.store.history if one.kind is Kind.TEAM])
        operators = [Operator(fleet, 0), Operator(fleet, 0)]
        for number, operator in enumerate(operators):
            operator.change(PLACES[0], make_value(PLACES[0], number))
        fleet.advance(IN_FORCE_SECONDS)
        after = len([one for one in fleet.store.history if one.kind is Kind.TEAM])
        self.assertEqual(after - before, 1)
        for vm in fleet.entries():
            team = fleet.node(vm).catalogue.view.team("hotel")
            self.assertEqual(team.rate, 1000.0)
