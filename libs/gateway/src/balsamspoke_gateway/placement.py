"""Where a request goes: the replica that can begin on it first."""

from dataclasses import dataclass, field
from datetime import timedelta

import xxhash

from .loads import ReplicaLoad
from .replicas import ReplicaRecord
from .requests import AdapterName, Prompt

# What it costs to wait for an adapter, in seconds: somewhat above the time of a
# load, so that a small difference in load does not spread an adapter.
LOAD_COST_SECONDS = 0.35
# The same for an adapter that is on its way already.
PENDING_LOAD_COST_SECONDS = 0.12
# The same for an adapter that the replica held lately and has a copy of.
CACHED_LOAD_COST_SECONDS = 0.05
# A load is paid for by the requests that follow it. Spreading an adapter that is
# asked for less than once in this many seconds costs as much more, in seconds.
SPREAD_COST_SECONDS = 0.6
# Loads that an engine carries out at once; further ones wait.
CONCURRENT_LOADS = 4
# Slowing of all running requests by one more, in seconds.
RUNNING_REQUEST_COST_SECONDS = 0.001
# Preference for the same replica by all entry processes, in seconds a rank.
RANK_COST_SECONDS = 0.004
# Bytes between failure domains are paid for; worth this wait, in seconds.
CROSS_DOMAIN_COST_SECONDS = 0.002
# A request at a replica with one slot in use waits about this long, in seconds.
SLOT_COST_SECONDS = 0.02


@dataclass(frozen=True, slots=True)
class Candidate:
    """A replica that may take a request.

    Attributes
    ----------
    record : ReplicaRecord
        Who it is.
    load : ReplicaLoad
        What waits there.
    held : dict or None
        Adapter versions of the request's model; None if it lacks the model.
    pending : dict
        Adapters of the model on their way, and their versions.
    copied : dict
        Versions of the adapters (by AdapterName) that it loads fast, as it held them
        lately.
    wanted_adapters : int
        Adapters that it has been asked for, those on their way included.
    can_load : bool
        Whether its side process is heard and loads what is asked for.
    """

    record: ReplicaRecord
    load: ReplicaLoad
    held: dict[str, int] | None = None
    pending: dict[str, int] = field(default_factory=dict)
    cached: dict[AdapterName, int] = field(default_factory=dict)
    wanted_adapters: int = 0
    can_load: bool = False


@dataclass(frozen=True, slots=True)
class EngineRequirements:
    """What a request needs of an engine.

    Attributes
    ----------
    prompt : Prompt
        What it asks.
    version : int
        Oldest version of its adapter that will do.
    failure_domain : str
        Where this process is.
    popularity : float
        Requests a second for the adapter, over all processes.
    awaited_replica : str or None
        Id of the replica where it waits for the adapter already.
    """

    prompt: Prompt
    version: int
    failure_domain: str
    popularity: float
    awaited_replica: str | None = None


@dataclass(frozen=True, slots=True)
class Choice:
    """Where a request goes.

    Attributes
    ----------
    candidate : Candidate
        The replica.
    wait : timedelta
        Predicted time to the first event once its adapter is there.
    must_load : bool
        Whether its adapter has to be loaded before it is sent.
    """

    candidate: Candidate
    wait: timedelta
    must_load: bool = False


def rank_replicas(key, candidates):
    """Return candidates in an order that all processes share for a key."""
    return sorted(
        candidates,
        key=lambda each: xxhash.xxh32_intdigest(f"{key}/{each.record.id}".encode()),
    )


def choose_plain(candidates, failure_domain, draw):
    """Return the Candidate of a service without models that is least loaded.

    Parameters
    ----------
    candidates : list of Candidate
        Not empty.
    failure_domain : str
        Where this process is.
    draw : callable
        Returns a number from 0 to below 1; breaks ties.
    """

    def count_cost(each):
        outstanding = each.load.in_flight + each.load.others_in_flight
        cost = SLOT_COST_SECONDS * outstanding / max(1, each.record.slots)
        if each.record.failure_domain != failure_domain:
            cost += CROSS_DOMAIN_COST_SECONDS
        return cost, draw()

    return min(candidates, key=count_cost)


def choose_engine(candidates, requirements, count_cached_tokens):
    """Return the Choice of the engine that begins first, or None.

    Answers a skewed popularity of adapters: one that is asked for seldom stays at
    the first replica of its rank; one that loads its replica more than a load
    takes spreads to the next.

    Parameters
    ----------
    candidates : list of Candidate
        Those of the service.
    need : EngineNeed
        What the request needs.
    kept_tokens : callable
        Returns the tokens of the prompt that a replica (by id) has read already.
    """
    best = None
    prompt, version = requirements.prompt, requirements.version
    adapter = prompt.target.adapter
    key = f"{prompt.target.model}/{adapter}"
    usable = [each for each in candidates if each.held is not None]
    is_held = any(_holds_or_loads(each, adapter, version) for each in usable)
    load_cost = LOAD_COST_SECONDS + (
        SPREAD_COST_SECONDS / (1 + requirements.popularity) if is_held else 0.0
    )
    for rank, each in enumerate(rank_replicas(key, usable)):
        must_load = adapter is not None and not _holds(each, adapter, version)
        if must_load and not each.can_load:
            continue
        tokens = max(1, prompt.tokens - count_cached_tokens(each.record.id))
        wait = each.load.predict_wait(tokens).total_seconds()
        cost = wait + rank * RANK_COST_SECONDS
        cost += RUNNING_REQUEST_COST_SECONDS * (
            each.load.in_flight + each.load.others_in_flight
        )
        if each.record.failure_domain != requirements.failure_domain:
            cost += CROSS_DOMAIN_COST_SECONDS
        if must_load:
            cost += _estimate_load_cost(each, requirements, load_cost)
        if best is None or cost < best[0]:
            best = (cost, Choice(each, timedelta(seconds=wait), must_load))
    return None if best is None else best[1]


def _estimate_load_cost(candidate, requirements, load_cost):
    """Return the seconds that loading an adapter at a replica costs."""
    target, version = requirements.prompt.target, requirements.version
    if candidate.pending.get(target.adapter, -1) >= version:
        return PENDING_LOAD_COST_SECONDS
    if candidate.record.id == requirements.awaited_replica:
        # Its place in the queue there is ahead of those that come later.
        return PENDING_LOAD_COST_SECONDS
    ahead = max(len(candidate.pending), candidate.wanted_adapters)
    queued = LOAD_COST_SECONDS * (ahead // CONCURRENT_LOADS)
    if candidate.cached.get(target, -1) >= version:
        return CACHED_LOAD_COST_SECONDS + queued
    return load_cost + queued


def _holds(candidate, adapter, version):
    return candidate.held.get(adapter, -1) >= version


def _holds_or_loads(candidate, adapter, version):
    """Whether a replica holds an adapter or will soon."""
    is_pending = candidate.pending.get(adapter, -1) >= version
    return is_pending or _holds(candidate, adapter, version)
