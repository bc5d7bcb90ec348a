"""Simulated entry processes with TeamBudgets, load from callers, and failures."""

import random
from dataclasses import dataclass
from datetime import timedelta

from balsamspoke_fakes import (
    FakeNetwork,
    FakeStore,
    FakeTransport,
    FakeVmList,
    StoreState,
    VirtualClock,
    VirtualTime,
    VmListState,
)
from balsamspoke_fakes.checkers import Admission, LimitChange, find_excess
from balsamspoke_limits import BudgetSettings, Limits, TeamBudgets
from balsamspoke_types.identifiers import ProcessId
from balsamspoke_types.ports import PeerHandler, VmRecord

VM_LIST_INTERVAL = timedelta(milliseconds=500)
CALL_INTERVAL = timedelta(milliseconds=250)
QUICK_SETTINGS = BudgetSettings(
    groups=2,
    units=12,
    lease_duration=timedelta(seconds=6),
    vm_list_staleness=timedelta(seconds=2),
    vm_list_gap=timedelta(seconds=2),
    refresh_interval=timedelta(seconds=5),
    retry_interval=timedelta(seconds=1),
)


def make_record(vm):
    return VmRecord(vm, f"10.0.0.1:{len(vm)}", "region", "domain", "entry")


@dataclass(slots=True, eq=False)
class TokenUse:
    """Tokens that a caller has reserved.

    Attributes
    ----------
    team : str
        Name of the team.
    at : timedelta
        Virtual time of the grant.
    amount : int
        Tokens reserved.
    used : int
        Tokens that count as used: all that were reserved until the reservation is
        settled, then those used.
    """

    team: str
    at: timedelta
    amount: int
    used: int


class Entry(PeerHandler):
    """An entry process: TeamBudgets with fakes of its own for the ports."""

    def __init__(self, fleet, vm, boot):
        self.fleet = fleet
        self.process = ProcessId(vm, boot)
        self.clock = VirtualClock(fleet.time)
        self.store = FakeStore(fleet.objects, self.clock, fleet.random)
        self.vm_list = FakeVmList(fleet.vms, self.clock)
        self.transport = FakeTransport(fleet.network, self.process, self.clock)
        self.transport.bind(self)
        self.budgets = TeamBudgets(
            self.process,
            self.clock,
            random.Random(boot),
            self.store,
            self.transport.send,
            fleet.limits.get,
            fleet.settings,
        )
        self.refusals = []
        self.budgets.start()
        self._fetch_vm_list()

    def peer_connected(self, peer):
        self.budgets.peer_connected(peer)

    def peer_disconnected(self, peer):
        self.budgets.peer_disconnected(peer)

    def peer_message(self, peer, message):
        self.budgets.peer_message(peer, message)

    def call(self, team, amount, used, duration):
        """Reserve tokens, and settle the reservation after ``duration`` if granted."""
        at = self.fleet.time.elapsed
        result = self.budgets.reserve(team, amount)
        result.addCallback(self._admit, used, duration)
        result.addErrback(lambda failure: self.refusals.append((at, failure.value)))

    def _admit(self, reservation, used, duration):
        at = self.fleet.time.elapsed
        use = TokenUse(reservation.team, at, reservation.amount, reservation.amount)
        self.fleet.uses.append(use)
        self.clock.call_later(duration, self._settle, reservation, use, used)

    @staticmethod
    def _settle(reservation, use, used):
        use.used = min(used, reservation.amount)
        reservation.settle(used)

    def _fetch_vm_list(self):
        requested_at = self.clock.monotonic()
        fetching = self.vm_list.fetch()
        fetching.addCallbacks(self._handle_vms, lambda failure: None, (requested_at,))
        self.clock.call_later(VM_LIST_INTERVAL, self._fetch_vm_list)

    def _handle_vms(self, records, requested_at):
        self.budgets.handle_vm_list(records, requested_at)
        for record in records:
            if record.vm != self.process.vm:
                self.transport.connect(record)


class Fleet:
    """Entry processes that share an object API, a VM list and a network.

    Parameters
    ----------
    count : int
        Number of entry VMs at the start.
    seed : int
        Seed of all random choices.
    limits : dict of str to Limits
        Limits of each team.
    settings : BudgetSettings
        Settings of all processes.

    Attributes
    ----------
    uses : list of TokenUse
        All granted reservations.
    overheld : list of tuple
        Time, group and usable units, for each time at which the processes together
        could grant from more units than the group has.
    """

    def __init__(self, count, seed, limits, settings=QUICK_SETTINGS):
        self.time = VirtualTime()
        self.random = random.Random(seed)
        self.network = FakeNetwork(self.time, self.random)
        self.objects = StoreState()
        self.vms = VmListState(self.time)
        self.settings = settings
        self.limits = dict(limits)
        self.changes = {
            team: [LimitChange(timedelta(0), found.rate, found.burst)]
            for team, found in limits.items()
        }
        self.uses = []
        self.overheld = []
        self.entries = {}
        self.hidden_vms = set()
        self._boots = 0
        for number in range(count):
            self.start_entry(f"vm-{number}")
        self.show_vms()
        self.time.advance(timedelta(seconds=2))

    def start_entry(self, vm):
        self._boots += 1
        self.entries[vm] = Entry(self, vm, self._boots)

    def show_vms(self):
        shown = [vm for vm in sorted(self.entries) if vm not in self.hidden_vms]
        self.vms.set([make_record(vm) for vm in shown])

    def find_entry(self, choice):
        return self.entries[sorted(self.entries)[choice % len(self.entries)]]

    def restart(self, choice):
        """Kill a process and start a new one on the same VM."""
        entry = self.find_entry(choice)
        entry.clock.kill()
        self.start_entry(entry.process.vm)

    def replace(self, choice):
        """Kill a process, remove its VM, and start another on a new VM."""
        entry = self.find_entry(choice)
        entry.clock.kill()
        del self.entries[entry.process.vm]
        self.hidden_vms.discard(entry.process.vm)
        self.start_entry(f"vm-new-{self._boots}")
        self.show_vms()

    def isolate(self, choice, is_isolated=True):
        """Hide a live VM from the VM list and disconnect it from the object API."""
        entry = self.find_entry(choice)
        entry.store.reachable = not is_isolated
        self.hide(entry.process.vm, is_isolated)

    def hide(self, vm, is_hidden=True):
        (self.hidden_vms.add if is_hidden else self.hidden_vms.discard)(vm)
        self.show_vms()

    def change_limits(self, team, limits):
        """Change a team's limits in all entry processes at the same time."""
        self.limits[team] = limits
        change = LimitChange(self.time.elapsed, limits.rate, limits.burst)
        self.changes[team].append(change)
        for entry in self.entries.values():
            entry.clock.run_or_defer(entry.budgets.refresh_limits, team)

    def call_greedily(self, calls=3):
        """Make ``calls`` reservations at each entry process that isn't paused."""
        for vm in sorted(self.entries):
            entry = self.entries[vm]
            for _ in range(0 if entry.clock.is_paused else calls):
                team = self.random.choice(sorted(self.limits))
                amount = self.random.choice([1, 5, 20, 60])
                used = self.random.choice([0, amount // 2, amount])
                duration = timedelta(seconds=self.random.choice([0, 0.1, 1, 5]))
                entry.call(team, amount, used, duration)

    def run(self, duration):
        """Advance the time while callers reserve tokens at all entry processes."""
        end = self.time.elapsed + duration
        while self.time.elapsed < end:
            self.call_greedily()
            self.time.advance(CALL_INTERVAL)
            self._check_units()

    def _check_units(self):
        for group, units in self.count_units().items():
            if units > self.settings.units:
                self.overheld.append((self.time.elapsed, group, units))

    def find_excess(self):
        """Return the worst Excess of each team that exceeded its limits."""
        found = {}
        for team, changes in self.changes.items():
            used = [
                Admission(use.at, use.used) for use in self.uses if use.team == team
            ]
            excess = find_excess(used, changes)
            if excess is not None:
                found[team] = excess
        return found

    def count_units(self):
        """Return the units of each group that all processes together may grant from."""
        total = {}
        for entry in self.entries.values():
            for status in entry.budgets.describe():
                if status.usable:
                    total[status.group] = total.get(status.group, 0) + status.units
        return total


def make_limits(rate=40, burst=200):
    return {"small": Limits(rate, burst), "large": Limits(4 * rate, 4 * burst)}
