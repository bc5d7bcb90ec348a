"""Measure the control cost of a node by fleet size, and extrapolate it.

The shipped node cores run over fakes in virtual time at several fleet sizes. For each
role, the benchmark prints processor time, bytes and messages sent, and object API
calls, each per node and virtual second. It fits a straight line through the sizes
against the number of nodes and prints its value at the target size with the spread
over the seeds. The figures do not include connection framing and system calls.
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

# Entry and side processes. In a fleet smaller than the first size, a process has fewer
# peers than it probes in one round of heartbeats.
SIZES = ((6, 12), (12, 24), (24, 48))
TARGET_ENTRIES = 340
TARGET_SIDES = 740
DOMAINS = ("north", "east", "south", "west")
MODEL = "base-model"
TEAM = "team"
ADAPTERS = 40
ANSWER_TOKENS = 20
SETTLE_SECONDS = 15
WINDOW_SECONDS = 10
KILOBYTE = 1000
MEGABYTE = 2**20
ROLES = ("entry", "side")
KEY = format_key("k" * 43)


class CountingResponder(Responder):
    """Count answers by status and outcome.

    Parameters
    ----------
    outcomes : Counter
        Counts to update.
    """

    def __init__(self, outcomes):
        self._outcomes = outcomes

    def start(self, status, headers):
        """Count the status."""
        self._outcomes[f"status {status}"] += 1

    def write(self, data):
        """Discard the data."""

    def end(self):
        """Count a complete answer."""
        self._outcomes["ended"] += 1

    def abort(self):
        """Count an aborted answer."""
        self._outcomes["aborted"] += 1


@dataclass
class Meter:
    """Resources used by all processes of one role.

    Attributes
    ----------
    node_count : int
        Number of processes.
    core_seconds : float
        Elapsed seconds in calls of the cores, without encoding.
    encoding_seconds : float
        Elapsed seconds spent encoding messages.
    message_counts, sent_bytes : Counter
        Messages sent and their encoded bytes, by message type.
    is_measuring : bool
        Whether a call is being measured; nested calls are part of it.
    """

    node_count: int = 0
    core_seconds: float = 0.0
    encoding_seconds: float = 0.0
    message_counts: Counter = field(default_factory=Counter)
    sent_bytes: Counter = field(default_factory=Counter)
    is_measuring: bool = False

    def run(self, function, *arguments):
        """Call a function of a core and add its time, without that of encoding."""
        if self.is_measuring:
            return function(*arguments)
        self.is_measuring = True
        encoding_before = self.encoding_seconds
        started = time.perf_counter()
        try:
            return function(*arguments)
        finally:
            spent = time.perf_counter() - started
            self.core_seconds += spent - (self.encoding_seconds - encoding_before)
            self.is_measuring = False

    def record_sent(self, message):
        """Encode a message to count it and to measure size and encoding time."""
        started = time.perf_counter()
        size = len(encode_batch((message,)))
        self.encoding_seconds += time.perf_counter() - started
        name = type(message).__name__
        self.message_counts[name] += 1
        self.sent_bytes[name] += size

    def reset(self):
        """Set all measurements back to zero for a new window."""
        self.core_seconds = self.encoding_seconds = 0.0
        self.message_counts.clear()
        self.sent_bytes.clear()


class MeteredClock(VirtualClock):
    """A clock that measures the time of its timer calls."""

    def __init__(self, virtual_time, meter):
        super().__init__(virtual_time)
        self._meter = meter

    def _fire(self, timer):
        self._meter.run(super()._fire, timer)


class MeteredTransport(FakeTransport):
    """A transport that measures its messages and keeps no log of them."""

    def __init__(self, network, process, clock, meter):
        super().__init__(network, process, clock)
        self._meter = meter

    def send(self, peer, message):
        """Measure and send a message."""
        self._meter.record_sent(message)
        super().send(peer, message)
        self.network.log.clear()

    def _arrive(self, peer, message):
        receiver = self.network.processes.get(peer.vm)
        receiver._meter.run(super()._arrive, peer, message)


class Fleet:
    """Entry and side processes in virtual time.

    Parameters
    ----------
    entries, sides : int
        Number of entry processes, and of side processes.
    seed : int
        Seed of all random choices.

    Attributes
    ----------
    meters : dict of str to Meter
        Measurements by role.
    outcomes : Counter
        Answers by status and outcome.
    """

    def __init__(self, entries, sides, seed):
        self.time = VirtualTime()
        self._random = random.Random(seed)
        self._network = FakeNetwork(self.time, random.Random(seed + 1))
        self._store_state = StoreState()
        self._vms = VmListState(self.time)
        self._stores_by_role = defaultdict(list)
        self.meters = {role: Meter() for role in ROLES}
        self.entries = []
        self.outcomes = Counter()
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
            self._store_state.put(kind, name, encode_object(value))

    def _make_record(self, role, number):
        domain = DOMAINS[number % len(DOMAINS)]
        service = MODEL if role == "side" else ""
        address = f"10.0.{number // 250}.{number % 250}:1"
        return VmRecord(f"{role}-{number}", address, "r1", domain, role, service)

    def _start(self, record):
        meter = self.meters[record.role]
        meter.node_count += 1
        clock = MeteredClock(self.time, meter)
        random_source = random.Random(self._random.random())
        process = ProcessId(record.vm, 1)
        store = FakeStore(
            self._store_state, clock, random.Random(random_source.random())
        )
        self._stores_by_role[record.role].append(store)
        plain_clock = VirtualClock(self.time)
        transport = MeteredTransport(self._network, process, plain_clock, meter)
        identity = NodeIdentity(record.vm, "r1", record.failure_domain, record.service)
        vm_list = FakeVmList(self._vms, clock)
        ports = NodePorts(
            process, identity, clock, random_source, store, vm_list, transport
        )
        if record.role == "entry":
            node = EntryNode(ports)
            self.entries.append(node)
        else:
            engine = FakeEngine(VirtualClock(self.time), slots=8)
            node = SideNode(ports, engine=engine, fencing=1)
        node.start()

    def advance(self, seconds):
        """Advance the virtual time by a number of seconds."""
        self.time.advance(timedelta(seconds=seconds))

    def send_requests(self, seconds, requests):
        """Advance by seconds; each entry process receives ``requests`` in each."""
        for _ in range(seconds):
            for entry in self.entries:
                for _ in range(requests):
                    self.meters["entry"].run(self._send_request, entry)
            self.advance(1)

    def _send_request(self, entry):
        name = f"adapter-{self._random.randrange(ADAPTERS)}"
        body = {
            "model": name,
            "prompt": "a",
            "max_tokens": ANSWER_TOKENS,
            "stream": True,
        }
        headers = (("authorization", f"Bearer {KEY}"),)
        request = CallerRequest("POST", "/v1/completions", headers, orjson.dumps(body))
        entry.handle(request, CountingResponder(self.outcomes))

    def count_calls(self, role):
        """Return the number of object API calls of a role since the start."""
        return sum(store.calls for store in self._stores_by_role[role])


def measure(entries, sides, seed, requests):
    """Return the figures by (role, name), and the answers by outcome."""
    fleet = Fleet(entries, sides, seed)
    fleet.advance(SETTLE_SECONDS)
    calls = {role: fleet.count_calls(role) for role in ROLES}
    for meter in fleet.meters.values():
        meter.reset()
    fleet.send_requests(WINDOW_SECONDS, requests)
    figures = {}
    for role, meter in fleet.meters.items():
        per_node = 1 / meter.node_count / WINDOW_SECONDS
        used = meter.core_seconds + meter.encoding_seconds
        figures[role, "processor time, % core"] = used * 100 * per_node
        figures[role, "of it encoding, % core"] = (
            meter.encoding_seconds * 100 * per_node
        )
        total_bytes = sum(meter.sent_bytes.values())
        figures[role, "all sent, KB/s"] = total_bytes / KILOBYTE * per_node
        figures[role, "all sent, messages/s"] = meter.message_counts.total() * per_node
        call_count = fleet.count_calls(role) - calls[role]
        figures[role, "object API, calls/s of all"] = call_count / WINDOW_SECONDS
        for name, size in meter.sent_bytes.items():
            figures[role, f"{name}, KB/s"] = size / KILOBYTE * per_node
            figures[role, f"{name}, messages/s"] = meter.message_counts[name] * per_node
    return figures, fleet.outcomes


def measure_memory(entries, sides, seed):
    """Return the memory of a fleet divided by its nodes, in MiB."""
    gc.collect()
    tracemalloc.start()
    fleet = Fleet(entries, sides, seed)
    fleet.advance(SETTLE_SECONDS)
    gc.collect()
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used_bytes / (entries + sides) / MEGABYTE


def fit_line(points):
    """Return slope and intercept of the least-squares line through (x, y) pairs."""
    return statistics.linear_regression(*zip(*points))


def parse_size(text):
    """Return the numbers of entry and side processes of a size like ``12/24``."""
    entries, sides = text.split("/")
    return int(entries), int(sides)


def print_line(name, by_size):
    """Print the medians of a figure by size, its line and the value at the target."""
    sizes = sorted(by_size)
    runs = zip(*(by_size[size] for size in sizes))
    lines = [fit_line(list(zip(sizes, run))) for run in runs]
    target = TARGET_ENTRIES + TARGET_SIDES
    values = [slope * target + intercept for slope, intercept in lines]
    shown = " ".join(f"{statistics.median(by_size[size]):9.4f}" for size in sizes)
    slope, intercept = (statistics.median(column) for column in zip(*lines))
    print(
        f"{name:<38} {shown} {slope:10.6f} {intercept:9.4f}"
        f" {statistics.median(values):10.3f} [{min(values):.3f} {max(values):.3f}]"
    )


def report(requests, seeds, sizes):
    """Measure all sizes at a number of requests a second and print the lines."""
    by_name = defaultdict(lambda: defaultdict(list))
    answers = Counter()
    for entries, sides in sizes:
        for seed in seeds:
            figures, outcomes = measure(entries, sides, seed, requests)
            answers += outcomes
            for name, value in figures.items():
                by_name[name][entries + sides].append(value)
    print(f"\n{requests} requests of {ANSWER_TOKENS} tokens a second and entry process")
    print(f"answers: {dict(answers)}")
    print_header(sizes)
    expected_counts = {entries + sides: len(seeds) for entries, sides in sizes}
    for name in sorted(by_name):
        by_size = by_name[name]
        for size, expected in expected_counts.items():
            by_size[size] += [0.0] * (expected - len(by_size[size]))
        print_line(" ".join(name), by_size)


def print_header(sizes):
    """Print the column headers."""
    totals = " ".join(f"{entries + sides:9}" for entries, sides in sizes)
    target = f"at {TARGET_ENTRIES}+{TARGET_SIDES}"
    print(f"{'a node':<38} {totals} {'slope':>10} {'intercept':>9} {target:>10}")


def report_memory(seeds, sizes):
    """Measure the memory at all sizes and print its line."""
    by_size = {
        entries + sides: [measure_memory(entries, sides, seed) for seed in seeds]
        for entries, sides in sizes
    }
    print()
    print_header(sizes)
    print_line("memory of a core and its fakes, MiB", by_size)


def main():
    """Run the benchmark and print its figures."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--requests", type=int, nargs="*", default=[0, 2])
    parser.add_argument("--sizes", type=parse_size, nargs="*", default=SIZES)
    parser.add_argument("--memory", action="store_true", help="measure only the memory")
    options = parser.parse_args()
    seeds = range(options.seeds)
    if options.memory:
        report_memory(seeds, options.sizes)
        return
    for requests in options.requests:
        report(requests, seeds, options.sizes)


if __name__ == "__main__":
    main()
