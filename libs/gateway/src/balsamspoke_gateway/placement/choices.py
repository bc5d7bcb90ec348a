"""Placement of requests: the choice of the replica that can start a request first.

Each replica gets a cost in seconds; the lowest one is chosen.
"""

from dataclasses import dataclass
from datetime import timedelta

from ..fleet.candidates import Candidate
from ..rendezvous import compute_weight
from ..requests import Prompt

# Cost of waiting for an adapter to load. It is somewhat above the load time, so that a
# small difference in load does not spread an adapter over more replicas.
LOAD_COST_SECONDS = 0.35
# Cost of waiting for an adapter that is already being loaded.
PENDING_LOAD_COST_SECONDS = 0.12
# Cost of loading an adapter that the replica held recently and has a cached copy of.
CACHED_LOAD_COST_SECONDS = 0.05
# Extra cost of loading an adapter that another replica holds or is loading, divided by
# one plus its requests a second: only the requests that follow a load make up for it,
# so a rarely requested adapter stays where it is.
SPREAD_COST_SECONDS = 0.6
# Replicas that refuse to load an adapter because it may crash them, after which no
# other one is asked to.
MAX_REFUSALS = 2
# Loads that an engine performs at once; further ones are queued.
CONCURRENT_LOADS = 4
# Cost per request at the replica, as each one slows down all running requests.
RUNNING_REQUEST_COST_SECONDS = 0.001
# Cost per rank in rendezvous hashing, so that all entry processes prefer the same
# replica.
RANK_COST_SECONDS = 0.004
# Traffic between failure domains is billed; avoiding it is worth this wait.
CROSS_DOMAIN_COST_SECONDS = 0.002


@dataclass(frozen=True, slots=True)
class EngineRequirements:
    """Requirements of a request on an engine, and further inputs of its placement.

    Attributes
    ----------
    prompt : Prompt
        Model, adapter and prompt of the request.
    version : int
        Oldest version of the adapter that the request may use.
    failure_domain : str
        Failure domain of this process.
    popularity : float
        Requests a second for the adapter, estimated over all entry processes.
    awaited_replica : str or None
        Id of the replica at which the request already waits for the adapter.
    priority : int or None
        Priority of the request; None if it does not matter.
    """

    prompt: Prompt
    version: int
    failure_domain: str
    popularity: float
    awaited_replica: str | None = None
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class Choice:
    """The replica chosen for a request.

    Attributes
    ----------
    candidate : Candidate
        The replica.
    wait : timedelta
        Predicted time to the first event once the replica holds the adapter.
    must_load : bool
        Whether the replica must load the adapter before the request is sent.
    admission_number : int or None
        Number of the AdmissionRequest by which the prompt was admitted; None if no
        admission was required.
    """

    candidate: Candidate
    wait: timedelta
    must_load: bool = False
    admission_number: int | None = None


def rank_replicas(key, candidates):
    """Return candidates in rendezvous hashing order for a key.

    All processes get the same order.
    """
    return sorted(
        candidates,
        key=lambda each: compute_weight(key, each.record.id),
    )


def choose_engine(candidates, requirements, count_cached_tokens):
    """Return the Choice with the lowest cost, or None if no replica is suitable.

    This handles a skewed popularity of adapters: one that is requested rarely stays at
    the first replica in its rendezvous order; one whose requests load that replica more
    than loading the adapter at the next one would cost spreads to the next.

    Parameters
    ----------
    candidates : list of Candidate
        Replicas of the service.
    requirements : EngineRequirements
        Requirements of the request.
    count_cached_tokens : callable
        Returns the tokens of the prompt that a replica (by id) has read already.
    """
    best = None
    prompt, version = requirements.prompt, requirements.version
    adapter = prompt.target.adapter
    key = f"{prompt.target.model}/{adapter}"
    usable = [each for each in candidates if each.held is not None]
    refusals = sum(key in each.refused_adapters for each in usable)
    is_available = any(_holds_or_loads(each, adapter, version) for each in usable)
    load_cost = LOAD_COST_SECONDS + (
        SPREAD_COST_SECONDS / (1 + requirements.popularity) if is_available else 0.0
    )
    for rank, each in enumerate(rank_replicas(key, usable)):
        must_load = adapter is not None and not _holds(each, adapter, version)
        is_refused = key in each.refused_adapters or refusals >= MAX_REFUSALS
        if must_load and (is_refused or not each.can_load):
            continue
        tokens = max(1, prompt.tokens - count_cached_tokens(each.record.id))
        wait = each.load.predict_wait(tokens, requirements.priority).total_seconds()
        cost = wait + rank * RANK_COST_SECONDS
        running = each.load.count_requests()
        cost += RUNNING_REQUEST_COST_SECONDS * running * each.load.slowdown
        if each.record.failure_domain != requirements.failure_domain:
            cost += CROSS_DOMAIN_COST_SECONDS
        if must_load:
            cost += _estimate_load_cost(each, requirements, load_cost)
        if best is None or cost < best[0]:
            best = (cost, Choice(each, timedelta(seconds=wait), must_load))
    return None if best is None else best[1]


def _estimate_load_cost(candidate, requirements, load_cost):
    """Return the cost in seconds of loading the adapter at a replica."""
    target, version = requirements.prompt.target, requirements.version
    if candidate.pending.get(target.adapter, -1) >= version:
        return PENDING_LOAD_COST_SECONDS
    if candidate.record.id == requirements.awaited_replica:
        # The request's position in the load queue there is ahead of later requests.
        return PENDING_LOAD_COST_SECONDS
    ahead = max(len(candidate.pending), candidate.wanted_adapters)
    queued = LOAD_COST_SECONDS * (ahead // CONCURRENT_LOADS)
    if candidate.cached.get(target, -1) >= version:
        return CACHED_LOAD_COST_SECONDS + queued
    return load_cost + queued


def _holds(candidate, adapter, version):
    return candidate.held.get(adapter, -1) >= version


def _holds_or_loads(candidate, adapter, version):
    """Return whether a replica holds an adapter or is loading it."""
    is_pending = candidate.pending.get(adapter, -1) >= version
    return is_pending or _holds(candidate, adapter, version)
