"""Measure what the control of a fleet costs a node, and extrapolate it.

Real node cores run over the fakes in virtual time at several sizes. For each role the
run prints processor time, bytes and messages sent, and object API calls a node and
virtual second, then a straight line through the sizes against the number of nodes, with
the spread over the seeds, and its value at the size given. Frames of the connections
and system calls aren't in it.
"""

import argparse
import gc
import random
import statistics
import time
import tracemalloc
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from datetime import timedelta

import orjson
from balsamspoke_catalogue import digest_key, encode_object
from balsamspoke_fakes import (
    FakeEngine,
    FakeNetwork,
    FakeStore,
    FakeTransport,
    FakeVmList,
    StoreState,
    VirtualClock,
    VirtualTime,
    VmListState,
)
from balsamspoke_node import (
    CallerRequest,
    EntryNode,
    NodeIdentity,
    NodePorts,
    Responder,
    SideNode,
)
from balsamspoke_types.identifiers import ProcessId
from balsamspoke_types.keys import format_key
from balsamspoke_types.objects import Adapter, KeyRecord, Kind, Model, Team
from balsamspoke_types.ports import VmRecord
from balsamspoke_wire import encode_batch

# Below the first size a process has fewer peers than a round of heartbeats probes.
SIZES = ((6, 12), (12, 24), (24, 48))
TARGET_ENTRIES = 340
TARGET_SIDES = 740
DOMAINS = ("north", "east", "south", "west")
MODEL = "base-model"
TEAM = "team"
ADAPTERS = 40
TOKENS = 20
SETTLE_SECONDS = 15
WINDOW_SECONDS = 10
KILOBYTE = 1000
MEGABYTE = 2**20
ROLES = ("entry", "side")
KEY = format_key("k" * 43)


class SilentResponder(Responder):
    """Count the answers that end."""

    def __init__(self, ended):
        self._ended = ended

    def start(self, status, headers):
        """Note the status."""
        self._ended[f"status {status}"] += 1

    def write(self, data):
        """Drop the data."""

    def end(self):
        """Note a whole answer."""
        self._ended["ended"] += 1

    def abort(self):
        """Note an answer that broke off."""
        self._ended["aborted"] += 1


@dataclass
class Meter:
    """What the processes of one role used."""

    nodes: int = 0
    running: float = 0.0
    encoding: float = 0.0
    sent: Counter = field(default_factory=Counter)
    sent_bytes: Counter = field(default_factory=Counter)
    is_running: bool = False

    def run(self, function, *arguments):
        """Call a function of a core and add its time, less that of encoding."""
        if self.is_running:
            return function(*arguments)
        self.is_running = True
        encoding = self.encoding
        begun = time.perf_counter()
        try:
            return function(*arguments)
        finally:
            spent = time.perf_counter() - begun
            self.running += spent - (self.encoding - encoding)
            self.is_running = False

    def note_sent(self, message):
        """Add a message and its encoded size."""
        begun = time.perf_counter()
        size = len(encode_batch((message,)))
        self.encoding += time.perf_counter() - begun
        name = type(message).__name__
        self.sent[name] += 1
        self.sent_bytes[name] += size

    def reset(self):
        """Begin a new window."""
        self.running = self.encoding = 0.0
        self.sent.clear()
        self.sent_bytes.clear()


class MeteredClock(VirtualClock):
    """A clock whose calls are metered."""

    def __init__(self, virtual_time, meter):
        super().__init__(virtual_time)
        self._meter = meter

    def _fire(self, timer):
        self._meter.run(super()._fire, timer)


class MeteredTransport(FakeTransport):
    """A transport that meters what is sent and keeps no log."""

    def __init__(self, network, process, clock, meter):
        super().__init__(network, process, clock)
        self._meter = meter

    def send(self, peer, message):
        """Meter and send a message."""
        self._meter.note_sent(message)
        super().send(peer, message)
        self.network.log.clear()

    def _arrive(self, peer, message):
        receiver = self.network.processes.get(peer.vm)
        receiver._meter.run(super()._arrive, peer, message)


class Fleet:
    """Entry and side processes in virtual time."""

    def __init__(self, entries, sides, seed):
        self.time = VirtualTime()
        self._random = random.Random(seed)
        self._network = FakeNetwork(self.time, random.Random(seed + 1))
        self._store = StoreState()
        self._vms = VmListState(self.time)
        self._stores = defaultdict(list)
        self.meters = {role: Meter() for role in ROLES}
        self.entries = []
        self.ended = Counter()
        self._fill_catalogue()
        records = [self._make_record("entry", number) for number in range(entries)]
        records += [self._make_record("side", number) for number in range(sides)]
        self._vms.set(records)
        for record in records:
            self._start(record)

    def _fill_catalogue(self):
        objects = [
            (Kind.TEAM, TEAM, Team(TEAM, 1e9, 10**9)),
            (Kind.KEY, "key", KeyRecord("key", TEAM, digest_key(KEY))),
            (Kind.MODEL, MODEL, Model(MODEL, adapter_slots=8, batch_size=32)),
        ]
        for number in range(ADAPTERS):
            name = f"adapter-{number}"
            objects.append((Kind.ADAPTER, name, Adapter(name, TEAM, MODEL, 1, (1,))))
        for kind, name, value in objects:
            self._store.put(kind, name, encode_object(value))

    def _make_record(self, role, number):
        domain = DOMAINS[number % len(DOMAINS)]
        service = MODEL if role == "side" else ""
        address = f"10.0.{number // 250}.{number % 250}:1"
        return VmRecord(f"{role}-{number}", address, "r1", domain, role, service)

    def _start(self, record):
        meter = self.meters[record.role]
        meter.nodes += 1
        clock = MeteredClock(self.time, meter)
        source = random.Random(self._random.random())
        process = ProcessId(record.vm, 1)
        store = FakeStore(self._store, clock, random.Random(source.random()))
        self._stores[record.role].append(store)
        plain_clock = VirtualClock(self.time)
        transport = MeteredTransport(self._network, process, plain_clock, meter)
        identity = NodeIdentity(record.vm, "r1", record.failure_domain, record.service)
        vm_list = FakeVmList(self._vms, clock)
        ports = NodePorts(process, identity, clock, source, store, vm_list, transport)
        if record.role == "entry":
            node = EntryNode(ports)
            self.entries.append(node)
        else:
            engine = FakeEngine(VirtualClock(self.time), slots=8)
            node = SideNode(ports, engine=engine, fencing=1)
        node.start()

    def advance(self, seconds):
        """Let seconds pass."""
        self.time.advance(timedelta(seconds=seconds))

    def ask_each_second(self, seconds, requests):
        """Let seconds pass, each entry process taking some requests in each."""
        for _ in range(seconds):
            for entry in self.entries:
                for _ in range(requests):
                    self.meters["entry"].run(self._ask, entry)
            self.advance(1)

    def _ask(self, entry):
        name = f"adapter-{self._random.randrange(ADAPTERS)}"
        body = {"model": name, "prompt": "a", "max_tokens": TOKENS, "stream": True}
        headers = (("authorization", f"Bearer {KEY}"),)
        request = CallerRequest("POST", "/v1/completions", headers, orjson.dumps(body))
        entry.handle(request, SilentResponder(self.ended))

    def count_calls(self, role):
        """Return the object API calls of a role so far."""
        return sum(store.calls for store in self._stores[role])


def measure(entries, sides, seed, requests):
    """Return the figures of each role, by (role, name), and the answers."""
    fleet = Fleet(entries, sides, seed)
    fleet.advance(SETTLE_SECONDS)
    calls = {role: fleet.count_calls(role) for role in ROLES}
    for meter in fleet.meters.values():
        meter.reset()
    fleet.ask_each_second(WINDOW_SECONDS, requests)
    figures = {}
    for role, meter in fleet.meters.items():
        per_node = 1 / meter.nodes / WINDOW_SECONDS
        used = meter.running + meter.encoding
        figures[role, "processor time, % core"] = used * 100 * per_node
        figures[role, "of it encoding, % core"] = meter.encoding * 100 * per_node
        sent = sum(meter.sent_bytes.values())
        figures[role, "all sent, KB/s"] = sent / KILOBYTE * per_node
        figures[role, "all sent, messages/s"] = meter.sent.total() * per_node
        made = fleet.count_calls(role) - calls[role]
        figures[role, "object API, calls/s of all"] = made / WINDOW_SECONDS
        for name, size in meter.sent_bytes.items():
            figures[role, f"{name}, KB/s"] = size / KILOBYTE * per_node
            figures[role, f"{name}, messages/s"] = meter.sent[name] * per_node
    return figures, fleet.ended


def measure_memory(entries, sides, seed):
    """Return the memory of a fleet for each node, in MiB."""
    gc.collect()
    tracemalloc.start()
    fleet = Fleet(entries, sides, seed)
    fleet.advance(SETTLE_SECONDS)
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return held / (entries + sides) / MEGABYTE


def fit(points):
    """Return the slope and intercept of a straight line through pairs."""
    return statistics.linear_regression(*zip(*points))


def parse_size(text):
    """Return the numbers of entry and side processes of a size like ``12/24``."""
    entries, sides = text.split("/")
    return int(entries), int(sides)


def print_line(name, by_size):
    """Print a figure at each size, and the line with its spread over the seeds."""
    sizes = sorted(by_size)
    runs = zip(*(by_size[size] for size in sizes))
    lines = [fit(list(zip(sizes, run))) for run in runs]
    target = TARGET_ENTRIES + TARGET_SIDES
    reached = [slope * target + intercept for slope, intercept in lines]
    shown = " ".join(f"{statistics.median(by_size[size]):9.4f}" for size in sizes)
    slope, intercept = (statistics.median(part) for part in zip(*lines))
    print(
        f"{name:<38} {shown} {slope:10.6f} {intercept:9.4f}"
        f" {statistics.median(reached):10.3f} [{min(reached):.3f} {max(reached):.3f}]"
    )


def report(requests, seeds, sizes):
    """Measure all sizes at a load and print the lines."""
    by_name = defaultdict(lambda: defaultdict(list))
    answers = Counter()
    for entries, sides in sizes:
        for seed in seeds:
            figures, ended = measure(entries, sides, seed, requests)
            answers += ended
            for name, value in figures.items():
                by_name[name][entries + sides].append(value)
    print(f"\n{requests} requests of {TOKENS} tokens a second and entry process")
    print(f"answers: {dict(answers)}")
    print_head(sizes)
    full = {entries + sides: len(seeds) for entries, sides in sizes}
    for name in sorted(by_name):
        by_size = by_name[name]
        for size, wanted in full.items():
            by_size[size] += [0.0] * (wanted - len(by_size[size]))
        print_line(" ".join(name), by_size)


def print_head(sizes):
    """Print what the columns mean."""
    totals = " ".join(f"{entries + sides:9}" for entries, sides in sizes)
    target = f"at {TARGET_ENTRIES}+{TARGET_SIDES}"
    print(f"{'a node':<38} {totals} {'slope':>10} {'intercept':>9} {target:>10}")


def report_memory(seeds, sizes):
    """Measure the memory at all sizes and print the line."""
    by_size = {
        entries + sides: [measure_memory(entries, sides, seed) for seed in seeds]
        for entries, sides in sizes
    }
    print()
    print_head(sizes)
    print_line("memory of a core and its fakes, MiB", by_size)


def main():
    """Run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--requests", type=int, nargs="*", default=[0, 2])
    parser.add_argument("--sizes", type=parse_size, nargs="*", default=SIZES)
    parser.add_argument("--memory", action="store_true", help="only the memory")
    options = parser.parse_args()
    seeds = range(options.seeds)
    if options.memory:
        report_memory(seeds, options.sizes)
        return
    for requests in options.requests:
        report(requests, seeds, options.sizes)


if __name__ == "__main__":
    main()
