import math
import unittest
from datetime import timedelta

from balsamspoke_fakes.properties import examples
from balsamspoke_membership import Member, MemberState
from balsamspoke_membership.probing import ProbeRounds
from balsamspoke_types.ports import VmState
from hypothesis import given
from hypothesis import strategies as st

from .fleet import Fleet, LeavingChecker

VMS = "abcdefg"
# Covers the VM list interval, repeats of unanswered heartbeats, and reconnecting.
CONVERGENCE_SECONDS = 8

vms = st.sampled_from(VMS)
events = st.one_of(
    st.tuples(st.just("restart"), vms),
    st.tuples(st.just("kill"), vms),
    st.tuples(st.just("leave"), vms),
    st.tuples(st.just("list_leaving"), vms),
    st.tuples(st.just("pause"), vms),
    st.tuples(st.just("resume"), vms),
    st.tuples(st.just("cut"), vms, vms),
    st.tuples(st.just("unlist"), vms),
    st.tuples(st.just("relist"), vms),
    st.tuples(st.just("outage"), st.booleans()),
    st.tuples(st.just("lag"), st.integers(0, 20)),
    st.tuples(st.just("messages"), st.sampled_from([0.0, 0.3]), st.booleans()),
)
schedules = st.lists(st.tuples(events, st.floats(0, 8)), max_size=25)


class Schedule:
    """A Fleet with one method for each kind of event in a schedule."""

    def __init__(self, seed):
        self.fleet = Fleet(VMS, seed)
        # Violations that the checker had found when a process announced to leave.
        self.left = {}
        self.fleet.advance(5)

    def play(self, event):
        name, *arguments = event
        getattr(self, name)(*arguments)

    def kill(self, vm):
        if vm in self.fleet.processes:
            self.fleet.kill(vm)

    def restart(self, vm):
        self.kill(vm)
        self.fleet.start(vm)

    def leave(self, vm):
        if vm in self.fleet.processes:
            process = self.fleet.processes[vm]
            process.membership.announce_leaving()
            found = len(self.fleet.checker.violations)
            self.left.setdefault(process.id, found)

    def list_leaving(self, vm):
        self.fleet.list(vm, VmState.LEAVING)

    def unlist(self, vm):
        # A VM that was listed as leaving is live again after relist().
        if vm in self.fleet.records:
            self.fleet.unlist(vm)

    def relist(self, vm):
        if vm not in self.fleet.records:
            self.fleet.list(vm)

    def pause(self, vm):
        if vm in self.fleet.processes:
            self.fleet.processes[vm].clock.pause()

    def resume(self, vm):
        if vm in self.fleet.processes:
            self.fleet.processes[vm].clock.resume()

    def cut(self, left, right):
        self.fleet.network.cut.add((left, right))

    def outage(self, is_on):
        self.fleet.vms.available = not is_on

    def lag(self, seconds):
        self.fleet.vms.lag = timedelta(seconds=seconds)

    def messages(self, rate, reorder):
        network = self.fleet.network
        network.loss_rate = network.duplicate_rate = rate
        network.jitter = timedelta(seconds=2 if reorder else 0)

    def heal(self):
        self.fleet.network.heal()
        self.messages(0.0, False)
        self.outage(False)
        self.lag(0)
        for vm in VMS:
            self.resume(vm)
            self.relist(vm)

    def expect(self, vm):
        states = {}
        for other, record in self.fleet.records.items():
            process = self.fleet.processes.get(other)
            is_leaving = record.state is VmState.LEAVING or (
                process is not None and process.id in self.left
            )
            if other == vm or (process is None and not is_leaving):
                continue
            if process is not None:
                state = MemberState.LEAVING if is_leaving else MemberState.LIVE
                states[other] = process.id, state
        return states


class ScheduleTest(unittest.TestCase):
    @examples(60)
    @given(seed=st.integers(0, 2**16), schedule=schedules)
    def test_leaving_stays_and_all_agree_after_the_last_failure(self, seed, schedule):
        played = Schedule(seed)
        for event, pause in schedule:
            played.play(event)
            played.fleet.advance(pause)
        played.heal()
        played.fleet.advance(CONVERGENCE_SECONDS)
        self.assertEqual(self.find_undone(played), [])
        for vm, process in played.fleet.processes.items():
            seen = {
                member.process.vm: (member.process, member.state)
                for member in process.membership.members()
                if member.process.vm in played.fleet.processes
            }
            self.assertEqual(seen, played.expect(vm))
            for member in process.membership.members():
                if member.process.vm not in played.fleet.processes:
                    self.assertIsNot(member.state, MemberState.LIVE)

    @staticmethod
    def find_undone(played):
        # Counts from a process's announcement on: before it, only the VM list shows the
        # VM as leaving, and a list that lags more than the one before shows it as live.
        return [
            violation
            for number, violation in enumerate(played.fleet.checker.violations)
            if number >= played.left.get(violation[1], math.inf)
        ]

    @examples(40)
    @given(
        seed=st.integers(0, 2**16),
        vm=vms,
        loss=st.sampled_from([0.0, 0.2]),
        reorder=st.booleans(),
    )
    def test_leaving_is_seen_by_all_within_the_bound(self, seed, vm, loss, reorder):
        played = Schedule(seed)
        played.messages(loss, False)
        played.fleet.network.jitter = timedelta(seconds=0.4 if reorder else 0)
        played.leave(vm)
        played.fleet.advance(4 if loss else 0.5)
        for other, process in played.fleet.processes.items():
            if other != vm:
                self.assertIs(process.states()[vm], MemberState.LEAVING)

    def test_checker_finds_a_revoked_leaving(self):
        process = Fleet("ab").processes["b"]
        record = process.fleet.records["b"]
        checker = LeavingChecker()
        for state in (MemberState.LEAVING, MemberState.SUSPECT, MemberState.LIVE):
            checker.check("a", [Member(process.id, record, state, 0)])
        self.assertEqual(
            [state for *_, state in checker.violations],
            [MemberState.SUSPECT, MemberState.LIVE],
        )


class ProbeRoundsTest(unittest.TestCase):
    @examples(60)
    @given(
        source=st.randoms(use_true_random=False),
        peers=st.integers(1, 40),
        count=st.integers(1, 6),
    )
    def test_each_peer_is_drawn_within_two_rounds(self, source, peers, count):
        rounds = ProbeRounds(source)
        bound = 2 * -(-peers // count)
        last = dict.fromkeys(range(peers), 0)
        for draw in range(1, 5 * bound):
            for peer in rounds.draw(range(peers), count):
                last[peer] = draw
            self.assertLessEqual(draw - min(last.values()), bound)
