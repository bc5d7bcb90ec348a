"""Replay a trace through the shipped routing and replicas with several policies.

``--final`` uses FINAL_SEEDS, which are reserved for the final figures.
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
MAX_FULL_SPEED_LOADS = 16
# Requests a second by deployment.
RATES = {"shirakaba": 10.0, "tamandare": 8.5}
SECONDS = 80
FAULT_SECONDS = 40
DRAIN_SECONDS = 40
WINDOW_SECONDS = 5
MAX_ATTEMPTS = 4
REQUEST_TIMEOUT = timedelta(seconds=30)
SEEDS = (1, 2, 3)
FINAL_SEEDS = (101, 102, 103, 104, 105)
POLICIES = ("round-robin", "least-loaded", "rendezvous", "ours")
# Each variant replaces a single component, to show which one causes a difference.
VARIANTS = ("ours-fifo", "ours-lru", "rendezvous-ours")
FAULTS = ("restart", "lost", "failing", "slow", "flip")
ENTRY = ProcessId("entry", 1)


class SharedStoreEngine(FakeEngine):
    """An engine whose adapter loads share one weight store with the other engines.

    Parameters
    ----------
    clock : VirtualClock
        Clock of the replica.
    concurrent_loads : list of int
        Its only item counts the running loads of all engines.
    slowness : list of float
        Its only item is the factor of all load times.
    """

    def __init__(self, clock, concurrent_loads, slowness):
        super().__init__(clock, SLOTS)
        self._concurrent_loads = concurrent_loads
        self._slowness = slowness

    def load_adapter(self, adapter, fencing):
        """Load an adapter; beyond sixteen concurrent loads, slower in proportion."""
        self._concurrent_loads[0] += 1
        slowdown = max(1.0, self._concurrent_loads[0] / MAX_FULL_SPEED_LOADS)
        self.load_time = timedelta(seconds=0.25 * slowdown * self._slowness[0])
        return super().load_adapter(adapter, fencing).addBoth(self._end_load)

    def _end_load(self, result):
        self._concurrent_loads[0] -= 1
        return result


class RequestRecord:
    """Progress of one request, in seconds of virtual time.

    Attributes
    ----------
    arrival : Arrival
        The request in the trace.
    first_token_at : float or None
        Time of the first token; None before it.
    is_finished : bool
        Whether the last attempt produced a complete answer.
    tokens : int
        Tokens produced.
    attempts : int
        Attempts sent to replicas.
    has_stalled : bool
        Whether an attempt was sent to a replica that did not hold its adapter.
    stall_seconds : float
        Time spent waiting for the adapter to be loaded.
    """

    def __init__(self, arrival):
        self.arrival = arrival
        self.first_token_at = None
        self.is_finished = False
        self.tokens = 0
        self.attempts = 0
        self.has_stalled = False
        self.stall_seconds = 0.0


class Replay:
    """Replay of one trace with one policy.

    Parameters
    ----------
    policy : str
        One of POLICIES or VARIANTS.
    seed : int
        Seed of the trace and of all random choices.
    rate : float
        Requests a second, without the flood.
    fault : str or None
        One of FAULTS, injected after FAULT_SECONDS; None for the flood of one team.
    """

    def __init__(self, policy, seed, rate, fault):
        self.time = VirtualTime()
        self.clock = VirtualClock(self.time)
        self.random = random.Random(seed)
        self.concurrent_loads, self.slowness = [0], [1.0]
        self.fault = fault
        flip_at = FAULT_SECONDS if fault == "flip" else None
        has_flood = fault is None
        self.trace = build_trace(self.random, rate, SECONDS, has_flood, flip_at)
        self.directory = ReplicaDirectory(
            self.clock, random.Random(seed), policy=_build_policy(policy, seed)
        )
        self.replicas, self.engines = {}, {}
        self.peers, self.indices = {}, {}
        self.open_attempts, self.stalled_requests = {}, {}
        self.records, self.samples, self.load_count = [], [], 0
        self.attempt_count = 0
        for index in range(REPLICAS):
            self._add_replica(index, policy)

    def run(self):
        """Run the trace and return the measures by name."""
        self.time.advance(timedelta(seconds=0.1))
        start = self.time.elapsed
        for arrival in self.trace:
            record = RequestRecord(arrival)
            self.records.append(record)
            when = start + timedelta(seconds=arrival.at)
            self.time.schedule(when, self._dispatch, record, frozenset())
        for step in range(SECONDS * 4):
            when = start + timedelta(seconds=step / 4)
            self.time.schedule(when, self._sample)
        if self.fault is not None:
            when = start + timedelta(seconds=FAULT_SECONDS)
            self.time.schedule(when, self._inject_fault)
        self.time.advance(timedelta(seconds=SECONDS + DRAIN_SECONDS))
        return self._measure()

    def _add_replica(self, index, policy):
        engine = SharedStoreEngine(self.clock, self.concurrent_loads, self.slowness)
        settings = ReplicaSettings()
        has_fair_queue = policy in ("ours", "ours-lru", "rendezvous-ours")
        has_popularity_slots = policy in ("ours", "ours-fifo", "rendezvous-ours")
        queue = FairQueue(settings.aging_time) if has_fair_queue else FifoQueue()
        slots = PopularitySlotPolicy() if has_popularity_slots else LruSlotPolicy()
        replica = EngineReplica(
            ProcessId(f"side-{index}", 1),
            Model("base", adapter_slots=SLOTS, batch_size=BATCH_SIZE),
            self.clock,
            self.random,
            engine,
            lambda peer, message: self._handle_message(index, message),
            lambda record, version: True,
            1,
            lambda: True,
            settings,
            lambda event: self._handle_event(index, event),
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

    def _dispatch(self, record, excluded):
        arrival = record.arrival
        peer = self.directory.choose("base", arrival.adapter, excluded)
        if peer is None:
            peer = self.directory.choose("base", arrival.adapter)
        index = self.indices[peer]
        record.attempts += 1
        self.attempt_count += 1
        attempt = AttemptId(ENTRY, self.attempt_count)
        self.open_attempts[attempt] = (record, index)
        self.directory.count_sent_attempt(peer)
        if arrival.adapter not in self.replicas[index].report().adapters:
            record.has_stalled = True
            key = (index, arrival.adapter)
            self.stalled_requests.setdefault(key, []).append((record, self._now()))
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
            # Operators set the weights in proportion to what each team may send.
            weight=TEAM_SHARES[arrival.team] * len(TEAM_SHARES),
            deadline=REQUEST_TIMEOUT,
            credit=100_000,
        )
        self.replicas[index].peer_message(ENTRY, order)

    def _handle_message(self, index, message):
        """Update routing and records by a message of a replica; retry failures."""
        peer = self.peers[index]
        if isinstance(message, ReplicaReport):
            self.directory.store_report(peer, message)
        elif isinstance(message, TokensProduced):
            for chunk in message.chunks:
                record, _ = self.open_attempts[chunk.attempt]
                record.tokens = chunk.offset + chunk.count
                record.first_token_at = (
                    self._now()
                    if record.first_token_at is None
                    else record.first_token_at
                )
        elif isinstance(message, GenerationFinished | AttemptRefused | AttemptFailed):
            record, _ = self.open_attempts.pop(message.attempt)
            self.directory.count_ended_attempt(peer)
            record.is_finished = isinstance(message, GenerationFinished)
            if not record.is_finished and record.attempts < MAX_ATTEMPTS:
                retry = (record, frozenset({peer}))
                self.time.schedule(self.time.elapsed, self._dispatch, *retry)

    def _handle_event(self, index, event):
        if isinstance(event, LoadStarted):
            self.load_count += 1
        elif isinstance(event, LoadEnded):
            for record, stalled_at in self.stalled_requests.pop(
                (index, event.adapter), ()
            ):
                record.stall_seconds += self._now() - stalled_at

    def _sample(self):
        """Record the fill of the batches, and the adapters in use by each engine."""
        running = [list(engine.running.values()) for engine in self.engines.values()]
        batch_fill = sum(map(len, running)) / (BATCH_SIZE * len(running))
        adapters_in_use = [
            {generation.order.adapter for generation in generations}
            for generations in running
        ]
        self.samples.append((batch_fill, statistics.mean(map(len, adapters_in_use))))

    def _inject_fault(self):
        if self.fault == "restart":
            self.engines[0].restart()
        elif self.fault == "slow":
            self.slowness[0] = 8.0
        elif self.fault == "failing":
            popular = max(
                self.trace, key=lambda arrival: self._count_arrivals(arrival.adapter)
            ).adapter
            for engine in self.engines.values():
                engine.failing.add(popular)
                if popular in engine.loaded:
                    engine.unload_adapter(popular, 1)
        elif self.fault == "lost":
            self._remove_replica(0)

    def _count_arrivals(self, adapter):
        """Return the uses of an adapter among every tenth request of the trace."""
        return sum(arrival.adapter == adapter for arrival in self.trace[::10])

    def _remove_replica(self, index):
        """Remove a replica and send its open requests to others."""
        self.replicas.pop(index).stop()
        self.directory.remove_member(self.peers[index])
        self.engines.pop(index)
        for attempt, (record, replica_index) in list(self.open_attempts.items()):
            if replica_index == index:
                del self.open_attempts[attempt]
                self._dispatch(record, frozenset())

    def _measure(self):
        waits_by_team = {team: [] for team in TEAM_SHARES}
        for record in self.records:
            if record.first_token_at is not None:
                wait = record.first_token_at - 0.1 - record.arrival.at
                waits_by_team[record.arrival.team].append(wait)
        p95 = {team: _quantile(waits, 0.95) for team, waits in waits_by_team.items()}
        compared = [p95[team] for team in p95 if team != FLOODING_TEAM or self.fault]
        stalls = [record.stall_seconds for record in self.records if record.has_stalled]
        return {
            "requests": len(self.records),
            "unfinished": sum(not record.is_finished for record in self.records),
            "loads_per_second": self.load_count / SECONDS,
            "distinct_adapters": len({arrival.adapter for arrival in self.trace}),
            "stalled": len(stalls),
            "stall_p50": _quantile(stalls, 0.5),
            "stall_p95": _quantile(stalls, 0.95),
            "stall_p99": _quantile(stalls, 0.99),
            "batch_fill": statistics.mean(batch_fill for batch_fill, _ in self.samples),
            "batch_adapters": statistics.mean(
                adapters_in_use for _, adapters_in_use in self.samples
            ),
            "first_token_p95": p95,
            "worst_over_best": max(compared) / min(compared),
            "worst_first_token_p95": max(compared),
            "served_over_fair": self._compare_with_fair_shares(),
            "recovery_seconds": self._find_recovery() if self.fault else None,
        }

    def _compare_with_fair_shares(self):
        requested, served = dict.fromkeys(TEAM_SHARES, 0), dict.fromkeys(TEAM_SHARES, 0)
        for record in self.records:
            requested[record.arrival.team] += record.arrival.tokens
            served[record.arrival.team] += record.tokens
        fair = _compute_fair_shares(requested, sum(served.values()))
        return {team: served[team] / fair[team] for team in requested}

    def _find_recovery(self):
        """Return the seconds from the fault to the end of the last slow window.

        A window is slow if its p95 wait is more than twice that of the 20 seconds
        before the fault; without one, 0 is returned.
        """
        before = self._get_waits(FAULT_SECONDS - 20, FAULT_SECONDS)
        limit = 2 * _quantile(before, 0.95)
        recovered_after = 0
        for at in range(FAULT_SECONDS, SECONDS, WINDOW_SECONDS):
            waits = self._get_waits(at, at + WINDOW_SECONDS)
            if _quantile(waits, 0.95) > limit:
                recovered_after = at + WINDOW_SECONDS - FAULT_SECONDS
        return recovered_after

    def _get_waits(self, start, end):
        return [
            (record.first_token_at or self._now()) - record.arrival.at
            for record in self.records
            if start <= record.arrival.at < end
        ]


def _build_policy(policy, seed):
    """Return the RoutingPolicy of a name; None stands for the shipped one."""
    if policy == "round-robin":
        return RoundRobin()
    if policy == "least-loaded":
        return LeastLoaded(random.Random(seed))
    if policy.startswith("rendezvous"):
        return PlainRendezvous(random.Random(seed))
    return None


def _compute_fair_shares(requested, total):
    """Return each team's max-min fair share of the tokens served, at least 1.

    Parameters
    ----------
    requested : dict of str to int
        Tokens requested by team.
    total : int
        Tokens served to all teams.
    """
    fair, remaining, open_teams = {}, total, sorted(requested, key=requested.get)
    while open_teams:
        team = open_teams.pop(0)
        fair[team] = max(1, min(requested[team], remaining / (len(open_teams) + 1)))
        remaining -= fair[team]
    return fair


def _quantile(values, fraction):
    ordered = sorted(values)
    return (
        ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else 0.0
    )


def run_job(job):
    """Run one replay; return the job and its measures."""
    policy, seed, deployment, fault, factor = job
    return job, Replay(policy, seed, RATES[deployment] * factor, fault).run()


def print_table(results):
    """Print median and range of each measure by deployment, fault and policy."""
    measure_names = [
        name for name, value in results[0][1].items() if type(value) is not dict
    ]
    groups = {}
    for (policy, _, deployment, fault, _), measures in results:
        groups.setdefault((deployment, fault or "flood", policy), []).append(measures)
    for group, found in groups.items():
        print("\n" + " ".join(group) + f" ({len(found)} seeds)")
        for name in measure_names:
            values = [measures[name] for measures in found]
            if values[0] is not None:
                median = statistics.median(values)
                print(f"  {name}: {median:.3g} ({min(values):.3g}-{max(values):.3g})")
        for name in ("first_token_p95", "served_over_fair"):
            teams = {
                team: statistics.median(measures[name][team] for measures in found)
                for team in TEAM_SHARES
            }
            shown = ", ".join(f"{team} {value:.2f}" for team, value in teams.items())
            print(f"  {name}: {shown}")


def main():
    """Run the replays that the options select, in two processes."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--final", action="store_true")
    parser.add_argument("--faults", action="store_true")
    parser.add_argument("--deployment", choices=RATES, action="append")
    parser.add_argument("--policy", choices=POLICIES + VARIANTS, action="append")
    parser.add_argument(
        "--load", type=float, default=1.0, help="factor applied to the request rate"
    )
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
        results = list(pool.map(run_job, jobs))
    print_table(results)
    if options.output:
        with open(options.output, "w") as file:
            json.dump(results, file, indent=1)


if __name__ == "__main__":
    main()
