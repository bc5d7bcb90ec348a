"""Placement of requests at replicas of services without models."""

import math
from datetime import timedelta

from ..exceptions import Overloaded
from .choices import CROSS_DOMAIN_COST_SECONDS

# Approximate wait at a replica whose only slot is in use.
SLOT_COST_SECONDS = 0.02
# Time in which the requests that others have at a replica are mostly others: a few
# times as long as such a request runs.
LOAD_FADE_TIME = timedelta(milliseconds=300)


def choose_plain(candidates, failure_domain, draw):
    """Return the Candidate at which a request costs least.

    This handles replicas whose speed changes several times a second, and many entry
    processes of which each hears of a replica now and then. A replica counts by the
    work ahead times its slowdown. Where it states how long work takes, its load counts
    the less the older it is, and chance the more: processes that know equally little
    would all send to the replica that looked fastest. With nothing known they spread
    their requests in proportion to the replicas' speeds.

    Parameters
    ----------
    candidates : list of Candidate
        Replicas of the service; not empty.
    failure_domain : str
        Failure domain of this process.
    draw : callable
        Returns a random number in [0, 1).
    """
    outstanding = estimate_outstanding(candidates)
    is_stated = _state_loads(candidates)

    def estimate_cost(index):
        each = candidates[index]
        slots = max(1, each.record.slots)
        slowdown = each.load.slowdown
        work = (slowdown * (outstanding[index] + 1) - 1) / slots
        if is_stated:
            work -= slowdown * (1 - _compute_trust(each)) * math.log(1 - draw())
        cost = SLOT_COST_SECONDS * work
        if each.record.failure_domain != failure_domain:
            cost += CROSS_DOMAIN_COST_SECONDS
        return cost, draw()

    return candidates[min(range(len(candidates)), key=estimate_cost)]


def estimate_outstanding(candidates):
    """Return the requests that each of some Candidates has, as far as is known.

    Those of other processes are taken as stated if they are recent. Old ones are
    spread over all candidates by their speeds, which is how requests are sent.
    """
    others = [each.load.others_in_flight for each in candidates]
    if _state_loads(candidates):
        speeds = [each.record.slots / each.load.slowdown for each in candidates]
        usual = sum(others) / max(1.0, sum(speeds))
        trusts = [_compute_trust(each) for each in candidates]
        others = [
            trust * stated + (1 - trust) * usual * speed
            for trust, stated, speed in zip(trusts, others, speeds, strict=True)
        ]
    return [
        each.load.in_flight + count
        for each, count in zip(candidates, others, strict=True)
    ]


def find_timely(candidates, chosen, usual_duration, limits):
    """Return the chosen Candidate, or the earliest one if that is too late.

    This handles a service that gets more than it finishes: what waits behind more work
    than can be done in time is refused, instead of running when nobody waits for it.
    Nothing is refused while a replica may have a free slot: what was heard at a peak
    doesn't hold after it, and only answers bring news.

    Parameters
    ----------
    candidates : list of Candidate
        Replicas of the service.
    chosen : Candidate
        The one that costs least.
    usual_duration : timedelta
        Usual time of such a request at a replica with a free slot.
    limits : list of timedelta
        Times within which the request has to be complete.

    Raises
    ------
    Overloaded
        If no replica completes the request in time and none may have a free slot. The
        time to return is when enough of the work ahead is done.
    """
    completions = predict_completions(candidates, usual_duration)
    limit = min(limits)
    if completions[candidates.index(chosen)] <= limit:
        return chosen
    earliest = min(completions)
    if earliest <= limit:
        return candidates[completions.index(earliest)]
    free = [each for each in candidates if may_have_free_slot(each, usual_duration)]
    if not free:
        raise Overloaded(
            f"an answer within {earliest.total_seconds():.3f} s is predicted",
            earliest - limit,
        )
    if any(each is chosen for each in free):
        return chosen
    return min(free, key=lambda each: completions[candidates.index(each)])


def may_have_free_slot(candidate, usual_duration):
    """Return whether a replica may have a free slot, by what was last heard of it.

    The requests of other processes count until the work that was there then is done.
    From then on one request goes, whose answer tells, and one more each time that such
    work would be done again.
    """
    load = candidate.load
    slots = max(1, candidate.record.slots)
    if candidate.load_age is None:
        return load.in_flight < slots
    if load.count_requests() < slots:
        return True
    turns = (load.others_in_flight + 1) / slots
    work_time = usual_duration * load.slowdown * max(1.0, turns)
    return load.in_flight < min(slots, candidate.load_age // work_time)


def predict_completions(candidates, usual_duration):
    """Return the timedelta until each of some Candidates completes a request."""
    outstanding = estimate_outstanding(candidates)
    completions = []
    for each, count in zip(candidates, outstanding, strict=True):
        slots = max(1, each.record.slots)
        turns = 1 + max(0.0, count + 1 - slots) / slots
        completions.append(usual_duration * each.load.slowdown * turns)
    return completions


def _state_loads(candidates):
    """Return whether replicas state how long work takes, and their load with it."""
    return any(each.load_age is not None for each in candidates)


def _compute_trust(candidate):
    """Return how far a replica's load still holds, from 0 to 1."""
    if candidate.load_age is None:
        return 0.0
    return math.exp(-candidate.load_age / LOAD_FADE_TIME)
