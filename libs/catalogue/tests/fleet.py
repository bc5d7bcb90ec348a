"""Catalogue synchronizers over fake ports in virtual time."""

import random
from datetime import timedelta

from balsamspoke_catalogue import (
    CatalogueSettings,
    CatalogueSynchronizer,
    encode_object,
)
from balsamspoke_fakes import (
    FakeNetwork,
    FakeStore,
    FakeTransport,
    StoreState,
    VirtualClock,
    VirtualTime,
)
from balsamspoke_types.identifiers import ProcessId
from balsamspoke_types.objects import CATALOGUE_KINDS, Adapter, KeyRecord, Kind, Team
from balsamspoke_types.ports import PeerHandler, StoredObject, VmRecord

HEARTBEAT = timedelta(seconds=1)


def make_adapter(name="a", team="t", version=1):
    return Adapter(name, team, "m", version, (version,))


def make_stored_object(obj, kind, version):
    return StoredObject(kind, obj.name, version, encode_object(obj))


class Process(PeerHandler):
    """A synchronizer with fake ports, and heartbeats that carry only the revision."""

    def __init__(self, fleet, vm, boot, kinds, watching):
        self.fleet = fleet
        self.id = ProcessId(vm, boot)
        self.clock = VirtualClock(fleet.time)
        seed = fleet.random.random()
        self.store = FakeStore(fleet.state, self.clock, random.Random(seed))
        self.transport = FakeTransport(fleet.network, self.id, self.clock)
        self.transport.bind(self)
        self.peers = set()
        self.versions = {}
        self.reverted = []
        self.synchronizer = CatalogueSynchronizer(
            self.id,
            self.clock,
            random.Random(seed + 1),
            self.store,
            self.transport.send,
            fleet.settings,
            kinds,
            self.record_change,
        )
        self.synchronizer.set_watching(watching)
        self.synchronizer.start()
        self.clock.call_later(HEARTBEAT, self.send_revision)

    def peer_connected(self, peer):
        self.peers.add(peer)
        self.synchronizer.peer_connected(peer)
        self.set_peers()

    def peer_disconnected(self, peer):
        self.peers.discard(peer)
        self.synchronizer.peer_disconnected(peer)
        self.set_peers()

    def set_peers(self):
        entries = [peer for peer in self.peers if not peer.vm.startswith("side")]
        self.synchronizer.set_peers(tuple(sorted(entries)))

    def peer_message(self, peer, message):
        if isinstance(message, int):
            self.synchronizer.update_peer_revision(peer, message)
        else:
            self.synchronizer.peer_message(peer, message)

    def send_revision(self):
        for peer in sorted(self.peers):
            self.transport.send(peer, self.synchronizer.view.revision)
        self.clock.call_later(HEARTBEAT, self.send_revision)

    def record_change(self, kind, name):
        version = self.synchronizer.view.get_current_version(kind, name)
        self.fleet.checker.record(self.id, kind, name, version)

    def get_versions(self):
        view = self.synchronizer.view
        return {
            (kind, name): view.get_current_version(kind, name)
            for kind in view.kinds
            for name in view.names(kind)
        }


class ReversionChecker:
    """Collect each change that replaces a version in force by an earlier one."""

    def __init__(self):
        self.versions = {}
        self.violations = []

    def record(self, process, kind, name, version):
        before = self.versions.get((process, kind, name), 0)
        if (version or 0) < before:
            self.violations.append((process, kind, name, before, version))
        self.versions[process, kind, name] = version or 0


class Fleet:
    """Catalogue synchronizers that share a fake network and object API."""

    def __init__(self, seed=0, settings=None):
        self.time = VirtualTime()
        self.random = random.Random(seed)
        self.network = FakeNetwork(self.time, random.Random(seed))
        self.state = StoreState()
        self.settings = settings or CatalogueSettings()
        self.checker = ReversionChecker()
        self.processes = {}
        self.boots = 0

    def start(self, vm, watching=False, kinds=CATALOGUE_KINDS):
        self.boots += 1
        process = Process(self, vm, self.boots, kinds, watching)
        self.processes[vm] = process
        for other in self.processes.values():
            record = VmRecord(vm, "", "", "", "entry")
            other.transport.connect(record)
            process.transport.connect(VmRecord(other.id.vm, "", "", "", "entry"))
        return process

    def kill(self, vm):
        process = self.processes.pop(vm)
        process.clock.kill()
        process.synchronizer.stop()
        process.store.reachable = False
        for watch in list(self.state.watches):
            if watch._store is process.store:
                watch.stop()
        del self.network.processes[vm]

    def advance(self, seconds):
        self.time.advance(timedelta(seconds=seconds))

    def put(self, obj, kind):
        return self.state.put(kind, obj.name, encode_object(obj))

    def fill(self, adapters=5):
        self.put(Team("t", 10.0, 100), Kind.TEAM)
        self.put(KeyRecord("k", "t", "0" * 64), Kind.KEY)
        for index in range(adapters):
            self.put(make_adapter(f"a{index:05}"), Kind.ADAPTER)

    def get_expected_versions(self, kinds=CATALOGUE_KINDS):
        return {
            key: stored.version
            for key, stored in self.state.objects.items()
            if key[0] in kinds
        }

    def find_stale(self):
        return [
            vm
            for vm, process in self.processes.items()
            if process.get_versions()
            != self.get_expected_versions(process.synchronizer.view.kinds)
        ]
