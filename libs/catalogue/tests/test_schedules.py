import unittest
from datetime import timedelta

from balsamspoke_catalogue import CatalogueSettings
from balsamspoke_fakes.properties import examples
from balsamspoke_types.objects import KeyRecord, Kind, Team
from hypothesis import given
from hypothesis import strategies as st

from .fleet import Fleet, make_adapter

VMS = ("w1", "w2", "e1", "e2", "side1")
SIDE_KINDS = (Kind.MODEL, Kind.SERVICE, Kind.KEY)
SETTINGS = CatalogueSettings(
    page_bytes=200,
    sweep_interval=timedelta(seconds=60),
    sweep_pause=timedelta(milliseconds=10),
)
# Covers two watch periods, a pull with its jitter, and a whole sweep.
CONVERGENCE_SECONDS = 75

names = st.integers(0, 5).map(lambda number: f"a{number}")
vms = st.sampled_from(VMS)
events = st.one_of(
    st.tuples(st.just("write"), names, st.integers(1, 9)),
    st.tuples(st.just("delete"), names),
    st.tuples(st.just("key"), st.booleans()),
    st.tuples(st.just("restart"), vms),
    st.tuples(st.just("pause"), vms),
    st.tuples(st.just("resume"), vms),
    st.tuples(st.just("cut"), vms, vms),
    st.tuples(st.just("cut store"), vms),
    st.tuples(st.just("outage"), st.booleans()),
    st.tuples(st.just("stale"), vms, st.integers(0, 6)),
    st.tuples(st.just("lost events"), vms, st.sampled_from([0.5, 1.0])),
    st.tuples(st.just("double events"), vms),
    st.tuples(st.just("lost replies"), vms),
    st.tuples(st.just("end watches"), vms),
    st.tuples(st.just("messages"), st.sampled_from([0.0, 0.3]), st.booleans()),
    st.tuples(st.just("heal")),
)
schedules = st.lists(st.tuples(events, st.floats(0, 8)), max_size=25)


class FaultSimulation:
    """Fleet of catalogue synchronizers that runs generated fault events."""

    def __init__(self, seed):
        self.fleet = Fleet(seed, SETTINGS)
        self.fleet.fill(3)
        for vm in VMS:
            self.start(vm)
        self.fleet.advance(5)

    def start(self, vm):
        kinds = SIDE_KINDS if vm.startswith("side") else None
        arguments = {"kinds": kinds} if kinds else {}
        self.fleet.start(vm, watching=vm.startswith("w"), **arguments)

    def run_event(self, event):
        name, *arguments = event
        getattr(self, name.replace(" ", "_"))(*arguments)

    def write(self, name, version):
        self.fleet.put(make_adapter(name, version=version), Kind.ADAPTER)

    def delete(self, name):
        if (Kind.ADAPTER, name) in self.fleet.state.objects:
            self.fleet.state.put(Kind.ADAPTER, name, b"", deleted=True)

    def key(self, is_withdrawn):
        if is_withdrawn:
            self.fleet.state.put(Kind.KEY, "k", b"", deleted=True)
        else:
            self.fleet.put(KeyRecord("k", "t", "1" * 64), Kind.KEY)

    def restart(self, vm):
        self.fleet.kill(vm)
        self.start(vm)

    def pause(self, vm):
        self.fleet.processes[vm].clock.pause()

    def resume(self, vm):
        self.fleet.processes[vm].clock.resume()

    def cut(self, left, right):
        self.fleet.network.cut.add((left, right))

    def cut_store(self, vm):
        self.fleet.processes[vm].store.reachable = False

    def outage(self, is_on):
        self.fleet.state.available = not is_on

    def stale(self, vm, revisions):
        self.fleet.processes[vm].store.stale_reads = revisions

    def lost_events(self, vm, rate):
        self.fleet.processes[vm].store.lost_event_rate = rate

    def double_events(self, vm):
        self.fleet.processes[vm].store.duplicates_events = True

    def lost_replies(self, vm):
        self.fleet.processes[vm].store.lost_reply_rate = 0.5

    def end_watches(self, vm):
        self.fleet.processes[vm].store.end_watches()

    def messages(self, rate, reorder):
        network = self.fleet.network
        network.loss_rate = network.duplicate_rate = rate
        network.jitter = timedelta(seconds=2 if reorder else 0)

    def heal(self):
        self.fleet.network.heal()
        self.messages(0.0, False)
        self.fleet.state.available = True
        for process in self.fleet.processes.values():
            process.clock.resume()
            store = process.store
            store.reachable = True
            store.stale_reads = 0
            store.lost_event_rate = store.lost_reply_rate = 0.0
            store.duplicates_events = False


class ScheduleTest(unittest.TestCase):
    @examples(60)
    @given(seed=st.integers(0, 2**16), schedule=schedules)
    def test_never_reverts_and_converges(self, seed, schedule):
        simulation = FaultSimulation(seed)
        for event, pause in schedule:
            simulation.run_event(event)
            simulation.fleet.advance(pause)
        simulation.heal()
        simulation.fleet.advance(CONVERGENCE_SECONDS)
        self.assertEqual(simulation.fleet.checker.violations, [])
        self.assertEqual(simulation.fleet.find_stale(), [])

    @examples(30)
    @given(seed=st.integers(0, 2**16), cut=st.sets(vms.filter("w1".__ne__)))
    def test_change_is_in_force_within_six_seconds(self, seed, cut):
        simulation = FaultSimulation(seed)
        for vm in cut:
            simulation.cut_store(vm)
        simulation.fleet.put(Team("t", 5.0, 50), Kind.TEAM)
        simulation.key(True)
        simulation.fleet.advance(6)
        self.assertEqual(simulation.fleet.find_stale(), [])

    def test_checker_finds_a_reversion(self):
        fleet = Fleet()
        fleet.checker.record("p", Kind.KEY, "k", 5)
        fleet.checker.record("p", Kind.KEY, "k", 4)
        fleet.checker.record("q", Kind.KEY, "k", 5)
        fleet.checker.record("q", Kind.KEY, "k", None)
        self.assertEqual(len(fleet.checker.violations), 2)

    def test_checker_finds_stale_processes(self):
        fleet = FaultSimulation(0).fleet
        view = fleet.processes["e1"].synchronizer.view
        newest = fleet.state.put(Kind.KEY, "k", b"", deleted=True)
        self.assertEqual(fleet.find_stale(), list(VMS))
        view.put(newest)
        self.assertNotIn("e1", fleet.find_stale())
