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
    def __init__(self, fleet, vm, boot):
        self.fleet = fleet
        self.id = ProcessId(vm, boot)
        self.clock = VirtualClock(fleet.time)
        self.transport = FakeTransport(fleet.network, self.id, self.clock)
        self.transport.bind(self)
        self.vm_list = FakeVmList(fleet.vms, self.clock)
        self.revision = 0
        self.changes = 0
        self.vms_asked_at = []
        self.membership = Membership(
            self.id,
            vm,
            self.clock,
            random.Random(fleet.random.random()),
            self.vm_list,
            self.transport,
            fleet.settings,
            lambda: self.revision,
            self.note_change,
            lambda records, asked_at: self.vms_asked_at.append(asked_at),
            lambda record: True,
        )
        self.membership.start()

    def peer_connected(self, peer):
        self.membership.peer_connected(peer)

    def peer_disconnected(self, peer):
        self.membership.peer_disconnected(peer)

    def peer_message(self, peer, message):
        self.membership.peer_message(peer, message)

    def note_change(self):
        self.changes += 1
        self.fleet.checker.note(self.id, self.membership.members())

    def states(self):
        return {m.process.vm: m.state for m in self.membership.members()}


class LeavingChecker:
    """Collect processes that were seen leaving and then as staying."""

    def __init__(self):
        self.left = set()
        self.violations = []

    def note(self, observer, members):
        for member in members:
            seen = observer, member.process
            if member.state is MemberState.LEAVING:
                self.left.add(seen)
            elif seen in self.left:
                self.violations.append((*seen, member.state))


class Fleet:
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
