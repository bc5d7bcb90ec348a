"""Replay a trace through routing and replicas as shipped, for several policies.

``--final`` takes the seeds that are kept for the final figures.
"""

import argparse
import json
import random
import statistics
from concurrent.futures import ProcessPoolExecutor
from datetime import timedelta

from balsamspoke_fakes import FakeEngine, VirtualClock, VirtualTime
from balsamspoke_replica import (
    EngineReplica,
    FairQueue,
    FifoQueue,
    LoadEnded,
    LoadStarted,
    LruSlotPolicy,
    PopularitySlotPolicy,
    ReplicaSettings,
)
from balsamspoke_routing import (
    LeastLoaded,
    PlainRendezvous,
    ReplicaDirectory,
    RoundRobin,
)
from balsamspoke_types.identifiers import AttemptId, ProcessId
from balsamspoke_types.messages import (
    AttemptFailed,
    AttemptRefused,
    GenerationFinished,
    ReplicaReport,
    RunGeneration,
    TokensProduced,
)
from balsamspoke_types.objects import Model
from policy_trace import FLOODING_TEAM, TEAM_SHARES, build_trace

REPLICAS = 5
SLOTS = 8
BATCH_SIZE = 16
FULL_SPEED_LOADS = 16
RATES = {"shirakaba": 10.0, "tamandare": 8.5}
SECONDS = 80
FAULT_SECONDS = 40
DRAIN_SECONDS = 40
WINDOW_SECONDS = 5
TRIES = 4
DEADLINE = timedelta(seconds=30)
SEEDS = (1, 2, 3)
FINAL_SEEDS = (101, 102, 103, 104, 105)
POLICIES = ("round-robin", "least-loaded", "rendezvous", "ours")
# One part exchanged at a time, to tell what a difference comes from.
VARIANTS = ("ours-fifo", "ours-lru", "rendezvous-ours")
FAULTS = ("restart", "lost", "failing", "slow", "flip")
ENTRY = ProcessId("entry", 1)


class StoreEngine(FakeEngine):
    """An engine whose loads share one weight store with the others'."""

    def __init__(self, clock, in_flight, slowness):
        super().__init__(clock, SLOTS)
        self._in_flight = in_flight
        self._slowness = slowness

    def load_adapter(self, adapter, fencing):
        """Load; slower in proportion beyond sixteen loads in flight."""
        self._in_flight[0] += 1
        crowding = max(1.0, self._in_flight[0] / FULL_SPEED_LOADS)
        self.load_time = timedelta(seconds=0.25 * crowding * self._slowness[0])
        return super().load_adapter(adapter, fencing).addBoth(self._end)

    def _end(self, result):
        self._in_flight[0] -= 1
        return result


class Record:
    """What became of one request; times in seconds."""

    def __init__(self, arrival):
        self.arrival = arrival
        self.first = None
        self.done = False
        self.tokens = 0
        self.tries = 0
        self.stalled = False
        self.stall = 0.0


class Replay:
    """One trace against one policy."""

    def __init__(self, policy, seed, rate, fault):
        self.time = VirtualTime()
        self.clock = VirtualClock(self.time)
        self.random = random.Random(seed)
        self.in_flight, self.slowness = [0], [1.0]
        self.fault = fault
        flip = FAULT_SECONDS if fault == "flip" else None
        floods = fault is None
        self.trace = build_trace(self.random, rate, SECONDS, floods, flip)
        self.directory = ReplicaDirectory(
            self.clock, random.Random(seed), policy=_build_policy(policy, seed)
        )
        self.replicas, self.engines = {}, {}
        self.peers, self.indices = {}, {}
        self.open, self.waiting = {}, {}
        self.records, self.samples, self.load_count = [], [], 0
        self.numbers = 0
        for index in range(REPLICAS):
            self._add_replica(index, policy)

    def run(self):
        """Play the trace and return the measures."""
        self.time.advance(timedelta(seconds=0.1))
        start = self.time.elapsed
        for arrival in self.trace:
            record = Record(arrival)
            self.records.append(record)
            when = start + timedelta(seconds=arrival.at)
            self.time.schedule(when, self._dispatch, record, frozenset())
        for step in range(SECONDS * 4):
            when = start + timedelta(seconds=step / 4)
            self.time.schedule(when, self._sample)
        if self.fault is not None:
            when = start + timedelta(seconds=FAULT_SECONDS)
            self.time.schedule(when, self._strike)
        self.time.advance(timedelta(seconds=SECONDS + DRAIN_SECONDS))
        return self._measure()

    def _add_replica(self, index, policy):
        engine = StoreEngine(self.clock, self.in_flight, self.slowness)
        settings = ReplicaSettings()
        is_fair = policy in ("ours", "ours-lru", "rendezvous-ours")
        is_popular = policy in ("ours", "ours-fifo", "rendezvous-ours")
        queue = FairQueue(settings.aging_time) if is_fair else FifoQueue()
        slots = PopularitySlotPolicy() if is_popular else LruSlotPolicy()
        replica = EngineReplica(
            ProcessId(f"side-{index}", 1),
            Model("base", adapter_slots=SLOTS, batch_size=BATCH_SIZE),
            self.clock,
            self.random,
            engine,
            lambda peer, message: self._take(index, message),
            lambda record, version: True,
            1,
            lambda: True,
            settings,
            lambda event: self._note(index, event),
            queue,
            slots,
        )
        self.replicas[index], self.engines[index] = replica, engine
        self.peers[index] = replica.process
        self.indices[replica.process] = index
        self.directory.update_member(replica.process, "base", "shari", True, False)
        self.directory.set_connected(replica.process, True)
        replica.start()
        replica.peer_connected(ENTRY)

    def _now(self):
        return self.time.elapsed.total_seconds()

    def _dispatch(self, record, avoid):
        arrival = record.arrival
        peer = self.directory.choose("base", arrival.adapter, avoid)
        if peer is None:
            peer = self.directory.choose("base", arrival.adapter)
        index = self.indices[peer]
        record.tries += 1
        self.numbers += 1
        attempt = AttemptId(ENTRY, self.numbers)
        self.open[attempt] = (record, index)
        self.directory.count_sent_attempt(peer)
        if arrival.adapter not in self.replicas[index].report().adapters:
            record.stalled = True
            key = (index, arrival.adapter)
            self.waiting.setdefault(key, []).append((record, self._now()))
        order = RunGeneration(
            attempt,
            "",
            arrival.team,
            "base",
            arrival.adapter,
            b"{}",
            arrival.tokens,
            record.tokens,
            "",
            arrival.priority,
            # As operators would set it: in proportion to what a team may send.
            weight=TEAM_SHARES[arrival.team] * len(TEAM_SHARES),
            deadline=DEADLINE,
            credit=100_000,
        )
        self.replicas[index].peer_message(ENTRY, order)

    def _take(self, index, message):
        peer = self.peers[index]
        if isinstance(message, ReplicaReport):
            self.directory.store_report(peer, message)
        elif isinstance(message, TokensProduced):
            for chunk in message.chunks:
                record, _ = self.open[chunk.attempt]
                record.tokens = chunk.offset + chunk.count
                record.first = self._now() if record.first is None else record.first
        elif isinstance(message, GenerationFinished | AttemptRefused | AttemptFailed):
            record, _ = self.open.pop(message.attempt)
            self.directory.count_ended_attempt(peer)
            record.done = isinstance(message, GenerationFinished)
            if not record.done and record.tries < TRIES:
                again = (record, frozenset({peer}))
                self.time.schedule(self.time.elapsed, self._dispatch, *again)

    def _note(self, index, event):
        if isinstance(event, LoadStarted):
            self.load_count += 1
        elif isinstance(event, LoadEnded):
            for record, since in self.waiting.pop((index, event.adapter), ()):
                record.stall += self._now() - since

    def _sample(self):
        running = [list(engine.running.values()) for engine in self.engines.values()]
        fill = sum(map(len, running)) / (BATCH_SIZE * len(running))
        used = [{g.order.adapter for g in one} for one in running]
        self.samples.append((fill, statistics.mean(map(len, used))))

    def _strike(self):
        if self.fault == "restart":
            self.engines[0].restart()
        elif self.fault == "slow":
            self.slowness[0] = 8.0
        elif self.fault == "failing":
            popular = max(self.trace, key=lambda a: self._count(a.adapter)).adapter
            for engine in self.engines.values():
                engine.failing.add(popular)
                if popular in engine.loaded:
                    engine.unload_adapter(popular, 1)
        elif self.fault == "lost":
            self._lose(0)

    def _count(self, adapter):
        return sum(arrival.adapter == adapter for arrival in self.trace[::10])

    def _lose(self, index):
        self.replicas.pop(index).stop()
        self.directory.remove_member(self.peers[index])
        self.engines.pop(index)
        for attempt, (record, at) in list(self.open.items()):
            if at == index:
                del self.open[attempt]
                self._dispatch(record, frozenset())

    def _measure(self):
        firsts = {team: [] for team in TEAM_SHARES}
        for record in self.records:
            if record.first is not None:
                wait = record.first - 0.1 - record.arrival.at
                firsts[record.arrival.team].append(wait)
        p95 = {team: _quantile(waits, 0.95) for team, waits in firsts.items()}
        calm = [p95[team] for team in p95 if team != FLOODING_TEAM or self.fault]
        stalls = [record.stall for record in self.records if record.stalled]
        return {
            "requests": len(self.records),
            "unfinished": sum(not record.done for record in self.records),
            "loads_per_second": self.load_count / SECONDS,
            "distinct_adapters": len({a.adapter for a in self.trace}),
            "stalled": len(stalls),
            "stall_p50": _quantile(stalls, 0.5),
            "stall_p95": _quantile(stalls, 0.95),
            "stall_p99": _quantile(stalls, 0.99),
            "batch_fill": statistics.mean(fill for fill, _ in self.samples),
            "batch_adapters": statistics.mean(used for _, used in self.samples),
            "first_token_p95": p95,
            "worst_over_best": max(calm) / min(calm),
            "worst_first_token_p95": max(calm),
            "served_over_fair": self._compare_served(),
            "recovery_seconds": self._find_recovery() if self.fault else None,
        }

    def _compare_served(self):
        asked, served = dict.fromkeys(TEAM_SHARES, 0), dict.fromkeys(TEAM_SHARES, 0)
        for record in self.records:
            asked[record.arrival.team] += record.arrival.tokens
            served[record.arrival.team] += record.tokens
        fair = _fill(asked, sum(served.values()))
        return {team: served[team] / fair[team] for team in asked}

    def _find_recovery(self):
        """Return the seconds until p95 of a window is at most twice what it was."""
        before = self._get_window(FAULT_SECONDS - 20, FAULT_SECONDS)
        bound = 2 * _quantile(before, 0.95)
        last = 0
        for at in range(FAULT_SECONDS, SECONDS, WINDOW_SECONDS):
            waits = self._get_window(at, at + WINDOW_SECONDS)
            if _quantile(waits, 0.95) > bound:
                last = at + WINDOW_SECONDS - FAULT_SECONDS
        return last

    def _get_window(self, begin, end):
        return [
            (record.first or self._now()) - record.arrival.at
            for record in self.records
            if begin <= record.arrival.at < end
        ]


def _build_policy(policy, seed):
    """Return a RoutingPolicy; None is the one that ships."""
    if policy == "round-robin":
        return RoundRobin()
    if policy == "least-loaded":
        return LeastLoaded(random.Random(seed))
    if policy.startswith("rendezvous"):
        return PlainRendezvous(random.Random(seed))
    return None


def _fill(asked, total):
    """Return each team's max-min fair part of what was served."""
    fair, left, open_teams = {}, total, sorted(asked, key=asked.get)
    while open_teams:
        team = open_teams.pop(0)
        fair[team] = max(1, min(asked[team], left / (len(open_teams) + 1)))
        left -= fair[team]
    return fair


def _quantile(values, part):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else 0.0


def run_one(job):
    """Run one replay; return its job and measures."""
    policy, seed, deployment, fault, factor = job
    return job, Replay(policy, seed, RATES[deployment] * factor, fault).run()


def print_table(results):
    """Print median and spread of each measure for each policy."""
    names = [name for name, value in results[0][1].items() if type(value) is not dict]
    groups = {}
    for (policy, _, deployment, fault, _), measures in results:
        groups.setdefault((deployment, fault or "flood", policy), []).append(measures)
    for group, found in groups.items():
        print("\n" + " ".join(group) + f" ({len(found)} seeds)")
        for name in names:
            values = [measures[name] for measures in found]
            if values[0] is not None:
                middle = statistics.median(values)
                print(f"  {name}: {middle:.3g} ({min(values):.3g}-{max(values):.3g})")
        for name in ("first_token_p95", "served_over_fair"):
            teams = {
                team: statistics.median(measures[name][team] for measures in found)
                for team in TEAM_SHARES
            }
            shown = ", ".join(f"{team} {value:.2f}" for team, value in teams.items())
            print(f"  {name}: {shown}")


def main():
    """Run the jobs asked for on two cores."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--final", action="store_true")
    parser.add_argument("--faults", action="store_true")
    parser.add_argument("--deployment", choices=RATES, action="append")
    parser.add_argument("--policy", choices=POLICIES + VARIANTS, action="append")
    parser.add_argument("--load", type=float, default=1.0, help="factor of the rate")
    parser.add_argument("--output")
    options = parser.parse_args()
    seeds = FINAL_SEEDS if options.final else SEEDS
    faults = FAULTS if options.faults else (None,)
    jobs = [
        (policy, seed, deployment, fault, options.load)
        for deployment in options.deployment or RATES
        for fault in faults
        for policy in options.policy or POLICIES
        for seed in seeds
    ]
    with ProcessPoolExecutor(2) as pool:
        results = list(pool.map(run_one, jobs))
    print_table(results)
    if options.output:
        with open(options.output, "w") as file:
            json.dump(results, file, indent=1)


if __name__ == "__main__":
    main()
