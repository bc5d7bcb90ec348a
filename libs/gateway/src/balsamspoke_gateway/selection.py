"""Where a request goes next: the choice of a replica, and the wait for its adapter."""

from datetime import timedelta

from balsamspoke_types.timing import add_timeout

from .demands import want_adapter
from .exceptions import (
    NO_DELAY,
    AnswerOverdue,
    NoReplica,
    OutcomeUnknown,
    Overloaded,
    TimedOut,
)
from .placement import Choice, EngineNeed, choose_engine, choose_plain

# A caller that is refused for want of capacity comes back after about this long.
BUSY_RETRY_AFTER = timedelta(milliseconds=300)
# A base model is loaded from a replica's own disk in about this time; callers that
# are refused meanwhile come back after once to twice as long.
MODEL_RETRY_AFTER = timedelta(milliseconds=800)
# How long a request waits for an adapter before it looks for a better replica.
ADAPTER_PATIENCE = timedelta(milliseconds=700)
# After so many times in vain at one replica, another one is as good to wait at.
MOST_WAITS = 3
# Part of the objective by which a request must be predicted to begin.
ADMITTED_PART = 1.0


class ReplicaSelection:
    """Find the replica for a request's next attempt, and refuse what can't begin.

    Answers a fleet that is full or restarting: what can't begin in time is refused
    at once, with the time after which coming back is worth it.

    Parameters
    ----------
    forwarding : Forwarding
        The request, admitted.
    """

    def __init__(self, forwarding):
        self._forwarding = forwarding
        self._context = forwarding.context
        self._request = forwarding.request
        self._progress = forwarding.progress

    async def find(self):
        """Return a Choice whose adapter is in place."""
        while True:
            choice = self._choose()
            if not choice.must_load:
                return choice
            if await self._wait_for_adapter(choice):
                return choice
            self._progress.note_wait(choice.candidate.record.id)

    def _choose(self):
        prompt = self._request.prompt
        fleet = self._context.fleet
        model = None if prompt is None else prompt.target.model
        candidates = fleet.list_candidates(
            self._forwarding.service, model, self._progress.excluded
        )
        if not candidates:
            raise self._end_without_replica()
        failure_domain = self._context.settings.failure_domain
        if prompt is None:
            best = choose_plain(candidates, failure_domain, self._context.draw)
            return Choice(best, NO_DELAY)
        choice = choose_engine(
            candidates,
            self._describe_need(prompt, failure_domain),
            lambda replica: self._context.read_parts.count_kept(prompt, replica),
        )
        if choice is None:
            raise self._end_without_replica()
        self._check_wait(choice)
        return choice

    def _describe_need(self, prompt, failure_domain):
        progress = self._progress
        return EngineNeed(
            prompt,
            self._context.versions.find(prompt.target),
            failure_domain,
            self._forwarding.popularity * self._context.processes,
            progress.awaited if progress.waits < MOST_WAITS else None,
        )

    def _end_without_replica(self):
        if self._progress.runs:
            return OutcomeUnknown("no other replica can take the request")
        if self._context.fleet.is_loading(self._forwarding.service):
            # Callers that come back one after the other don't meet in a queue.
            delay = MODEL_RETRY_AFTER * (1 + self._context.draw())
            return NoReplica(f"{self._forwarding.service} is loading its model", delay)
        return NoReplica(f"no replica of {self._forwarding.service}", BUSY_RETRY_AFTER)

    def _check_wait(self, choice):
        """Refuse at once what its replica could not begin in time.

        Time spent on loading an adapter does not count: it uses none of the
        engine's, and a late answer is still worth something.
        """
        if self._progress.runs:
            return
        latest = ADMITTED_PART * self._forwarding.route.objective
        if choice.wait > latest:
            raise Overloaded(
                f"a wait of {choice.wait.total_seconds():.3f} s is predicted",
                max(BUSY_RETRY_AFTER, choice.wait - latest),
            )

    async def _wait_for_adapter(self, choice):
        """Return whether a replica has the adapter that it has to load."""
        record = choice.candidate.record
        target = self._request.prompt.target
        wanted = want_adapter(target, self._context.versions.find(target))
        waiter = self._context.demands.wait_for(record.id, wanted)
        self._context.tell_replica(record)
        patience = min(ADAPTER_PATIENCE, self._forwarding.time_left())
        try:
            await add_timeout(waiter, self._context.clock, patience, AnswerOverdue())
        except AnswerOverdue:
            if self._forwarding.time_left() <= NO_DELAY:
                raise self._end_overdue()
            return False
        return True

    def _end_overdue(self):
        if self._progress.runs:
            return TimedOut("the time for the answer is over")
        return Overloaded("the adapter was not loaded in time", BUSY_RETRY_AFTER)
