"""Simulated processes with a Membership each, over fakes of the ports."""

import random
from datetime import timedelta

from balsamspoke_fakes import (
    FakeNetwork,
    FakeTransport,
    FakeVmList,
    VirtualClock,
    VirtualTime,
    VmListState,
)
from balsamspoke_membership import Membership, MemberState
from balsamspoke_types.identifiers import ProcessId
from balsamspoke_types.ports import PeerHandler, VmRecord, VmState


class Process(PeerHandler):
    """A process with a Membership and fakes of its own for the ports.

    Attributes
    ----------
    id : ProcessId
        Id of the process.
    revision : int
        Catalogue revision that it reports.
    changes : int
        Number of changes of the members.
    vms_requested_at : list of timedelta
        Monotonic request time of each VM list that was received.
    """

    def __init__(self, fleet, vm, boot):
        self.fleet = fleet
        self.id = ProcessId(vm, boot)
        self.clock = VirtualClock(fleet.time)
        self.transport = FakeTransport(fleet.network, self.id, self.clock)
        self.transport.bind(self)
        self.vm_list = FakeVmList(fleet.vms, self.clock)
        self.revision = 0
        self.changes = 0
        self.vms_requested_at = []
        self.membership = Membership(
            self.id,
            vm,
            self.clock,
            random.Random(fleet.random.random()),
            self.vm_list,
            self.transport,
            fleet.settings,
            lambda: self.revision,
            self.record_change,
            lambda records, requested_at: self.vms_requested_at.append(requested_at),
            lambda record: True,
        )
        self.membership.start()

    def peer_connected(self, peer):
        self.membership.peer_connected(peer)

    def peer_disconnected(self, peer):
        self.membership.peer_disconnected(peer)

    def peer_message(self, peer, message):
        self.membership.peer_message(peer, message)

    def record_change(self):
        self.changes += 1
        self.fleet.checker.check(self.id, self.membership.members())

    def states(self):
        return {m.process.vm: m.state for m in self.membership.members()}


class LeavingChecker:
    """Detect members that were seen as leaving and later in another state."""

    def __init__(self):
        self.leavers = set()
        self.violations = []

    def check(self, observer, members):
        for member in members:
            seen = observer, member.process
            if member.state is MemberState.LEAVING:
                self.leavers.add(seen)
            elif seen in self.leavers:
                self.violations.append((*seen, member.state))


class Fleet:
    """Processes that share a VM list and a network.

    Parameters
    ----------
    vms : iterable of str
        Ids of the VMs, each listed and with a running process at the start.
    seed : int
        Seed of all random choices.
    settings : MembershipSettings or None
        Settings of all processes; None for the defaults.
    """

    def __init__(self, vms, seed=0, settings=None):
        self.time = VirtualTime()
        self.random = random.Random(seed)
        self.network = FakeNetwork(self.time, random.Random(seed))
        self.vms = VmListState(self.time)
        self.settings = settings
        self.checker = LeavingChecker()
        self.records = {}
        self.processes = {}
        self.boots = 0
        for vm in vms:
            self.list(vm)
        for vm in vms:
            self.start(vm)

    def list(self, vm, state=VmState.LIVE):
        self.records[vm] = VmRecord(vm, "", "", "", "entry", "", state)
        self.vms.set(self.records.values())

    def unlist(self, vm):
        del self.records[vm]
        self.vms.set(self.records.values())

    def start(self, vm):
        self.boots += 1
        self.processes[vm] = Process(self, vm, self.boots)
        return self.processes[vm]

    def kill(self, vm):
        process = self.processes.pop(vm)
        process.clock.kill()
        process.membership.stop()
        del self.network.processes[vm]

    def advance(self, seconds):
        self.time.advance(timedelta(seconds=seconds))
