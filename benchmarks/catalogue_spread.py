"""Measure how long a catalogue change takes to reach all processes, and traffic."""

import argparse
import random
import statistics
from collections import Counter
from datetime import timedelta

from balsamspoke_catalogue import CatalogueSynchronizer, encode_object
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
from balsamspoke_membership import Membership
from balsamspoke_types.identifiers import ProcessId
from balsamspoke_types.messages import CatalogueDelta, PullCatalogue
from balsamspoke_types.objects import CATALOGUE_KINDS, KeyRecord, Kind
from balsamspoke_types.ports import PeerHandler, VmRecord

SIDE_KINDS = (Kind.MODEL, Kind.SERVICE, Kind.KEY)
POLL_INTERVAL = timedelta(milliseconds=100)
SPREAD_TIMEOUT = timedelta(seconds=30)
IDLE_PERIOD = timedelta(seconds=30)
# Estimated sizes on the wire, of one process's status and of a message without payload.
STATUS_BYTES = 40
MESSAGE_OVERHEAD_BYTES = 24


class Node(PeerHandler):
    """Catalogue synchronizer and membership of one process.

    Parameters
    ----------
    fleet : Fleet
        Fleet with the shared fakes.
    record : VmRecord
        VM of the process.
    watching : bool
        Whether the process watches the object API.
    """

    def __init__(self, fleet, record, watching):
        self.fleet = fleet
        self.record = record
        self.id = ProcessId(record.vm, fleet.random.getrandbits(48))
        self.peers = set()
        clock = VirtualClock(fleet.time)
        self.store = FakeStore(fleet.state, clock)
        self.transport = FakeTransport(fleet.network, self.id, clock)
        self.transport.bind(self)
        kinds = SIDE_KINDS if record.role == "side" else CATALOGUE_KINDS
        self.synchronizer = CatalogueSynchronizer(
            self.id,
            clock,
            random.Random(fleet.random.random()),
            self.store,
            self.transport.send,
            kinds=kinds,
        )
        self.synchronizer.set_watching(watching)
        self.membership = Membership(
            self.id,
            record.vm,
            clock,
            random.Random(fleet.random.random()),
            FakeVmList(fleet.vms, clock),
            self.transport,
            None,
            lambda: self.synchronizer.view.revision,
            lambda: None,
            lambda records, asked_at: None,
            lambda other: fleet.should_connect(record, other),
            self.synchronizer.update_peer_revision,
        )
        self.synchronizer.start()
        self.membership.start()

    def peer_connected(self, peer):
        """Report the connection to the membership; update the synchronizer's peers."""
        self.peers.add(peer)
        self.membership.peer_connected(peer)
        self._set_peers()

    def peer_disconnected(self, peer):
        """Report the disconnection to membership and synchronizer."""
        self.peers.discard(peer)
        self.membership.peer_disconnected(peer)
        self.synchronizer.peer_disconnected(peer)
        self._set_peers()

    def peer_message(self, peer, message):
        """Pass a message to the membership, or else to the synchronizer."""
        if not self.membership.peer_message(peer, message):
            self.synchronizer.peer_message(peer, message)

    def _set_peers(self):
        entries = [peer for peer in self.peers if peer.vm.startswith("entry")]
        self.synchronizer.set_peers(tuple(sorted(entries)))


class Fleet:
    """Entry and side processes, each connected to some of the entry processes.

    Parameters
    ----------
    entries, sides : int
        Number of entry processes, and of side processes.
    watchers : int
        Number of processes that watch the object API.
    connections : int
        Connections that each process opens.
    seed : int
        Seed of all random choices.
    """

    def __init__(self, entries, sides, watchers, connections, seed):
        self.random = random.Random(seed)
        self.time = VirtualTime()
        self.network = FakeNetwork(self.time, random.Random(seed))
        self.network.log = Traffic()
        self.state = StoreState()
        self.vms = VmListState(self.time)
        self._targets = {}
        records = [
            VmRecord(f"entry{number:04}", "", "", "", "entry")
            for number in range(entries)
        ] + [
            VmRecord(f"side{number:04}", "", "", "", "side") for number in range(sides)
        ]
        self.vms.set(records)
        names = [record.vm for record in records[:entries]]
        for record in records:
            chosen = self.random.sample(names, min(len(names), connections))
            self._targets[record.vm] = set(chosen)
        self.nodes = [
            Node(self, record, index < watchers) for index, record in enumerate(records)
        ]

    def should_connect(self, record, other):
        """Return whether a process keeps a connection to another."""
        return other.role == "entry" and other.vm in self._targets[record.vm]

    def count_stale(self, version):
        """Return how many processes do not have a given version of the key."""
        return sum(
            node.synchronizer.view.get_current_version(Kind.KEY, "k") != version
            for node in self.nodes
        )


class Traffic:
    """Network log that counts messages and their bytes instead of storing them."""

    def __init__(self):
        self.bytes = Counter()
        self.messages = Counter()

    def append(self, sent):
        """Count a message for its sender and its receiver."""
        sender, receiver, message = sent
        size = estimate_bytes(message)
        for process in (sender, receiver):
            self.bytes[process] += size
            self.messages[process] += 1


def estimate_bytes(message):
    """Return the approximate size of a message on the wire, in bytes."""
    if isinstance(message, PullCatalogue):
        return MESSAGE_OVERHEAD_BYTES + len(message.after) + 40
    if isinstance(message, CatalogueDelta):
        values = sum(len(item.name) + len(item.value) + 20 for item in message.objects)
        return MESSAGE_OVERHEAD_BYTES + len(message.more) + values
    return MESSAGE_OVERHEAD_BYTES + STATUS_BYTES * (1 + len(message.others))


def measure(entries, sides, watchers, connections, seed):
    """Measure the spread of one change and the traffic of the processes.

    Returns
    -------
    tuple of float
        Seconds until the last process has the change, at most SPREAD_TIMEOUT; bytes
        a second of the process with the most traffic; median of messages a second
        over the processes; object API calls a second of the whole fleet while idle.
    """
    fleet = Fleet(entries, sides, watchers, connections, seed)
    key = KeyRecord("k", "t", "0" * 64)
    fleet.state.put(Kind.KEY, "k", encode_object(key))
    fleet.time.advance(timedelta(seconds=15))
    fleet.network.log = traffic = Traffic()
    calls = sum(node.store.calls for node in fleet.nodes)
    fleet.time.advance(IDLE_PERIOD)
    calls = (sum(node.store.calls for node in fleet.nodes) - calls) / (
        IDLE_PERIOD.total_seconds()
    )
    deletion = fleet.state.put(Kind.KEY, "k", b"", deleted=True)
    changed_at = fleet.time.elapsed
    while (
        fleet.count_stale(deletion.version)
        and fleet.time.elapsed < changed_at + SPREAD_TIMEOUT
    ):
        fleet.time.advance(POLL_INTERVAL)
    spread = (fleet.time.elapsed - changed_at).total_seconds()
    rates = [
        traffic.bytes[node.id] / (IDLE_PERIOD.total_seconds() + spread)
        for node in fleet.nodes
    ]
    messages = [
        traffic.messages[node.id] / (IDLE_PERIOD.total_seconds() + spread)
        for node in fleet.nodes
    ]
    return spread, max(rates), statistics.median(messages), calls


def main():
    """Print one line for each size of the fleet."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--sizes", default="30/0,100/0,340/0")
    parser.add_argument("--watchers", type=int, default=12)
    parser.add_argument(
        "--connections", type=int, default=12, help="opened by each process"
    )
    arguments = parser.parse_args()
    print("entries/sides  spread s: median max  bytes/s max  messages/s  calls/s")
    for size in arguments.sizes.split(","):
        entries, sides = (int(number) for number in size.split("/"))
        rows = [
            measure(entries, sides, arguments.watchers, arguments.connections, seed)
            for seed in range(arguments.seeds)
        ]
        spreads, rates, messages, calls = zip(*rows)
        print(
            f"{size:13}  {statistics.median(spreads):16.1f} {max(spreads):3.1f}"
            f"  {max(rates):11.0f}  {statistics.median(messages):10.1f}"
            f"  {statistics.median(calls):7.2f}",
            flush=True,
        )


if __name__ == "__main__":
    main()
