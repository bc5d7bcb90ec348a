"""One request from its arrival to its final answer."""

from dataclasses import dataclass, field
from datetime import timedelta

from twisted.internet.defer import CancelledError
from twisted.python.failure import Failure

from .attempt import Attempt, NotRun
from .configuration import RequestKind
from .demands import want_adapter
from .exceptions import (
    NO_DELAY,
    AnswerLost,
    AnswerOverdue,
    BodyTooLarge,
    NoReplica,
    NotReady,
    NotSent,
    OutcomeUnknown,
    Overloaded,
    RequestRefused,
    TimedOut,
)
from .observing import ANSWERED, AttemptEnded, RequestEnded
from .placement import Choice, EngineNeed, choose_engine, choose_plain
from .timing import limit

# A caller that is refused for want of capacity comes back after about this long.
BUSY_RETRY_AFTER = timedelta(milliseconds=300)
# A base model is loaded from a replica's own disk in about this time; callers that
# are refused meanwhile come back after once to twice as long.
MODEL_RETRY_AFTER = timedelta(milliseconds=800)
# Replicas asked in vain before a request is refused, whatever the budget allows.
MOST_TRIES = 4
# How long a request waits for an adapter before it looks for a better replica.
ADAPTER_PATIENCE = timedelta(milliseconds=700)
# After so many times in vain at one replica, another one is as good to wait at.
MOST_WAITS = 3
# Part of the objective by which a request must be predicted to begin.
ADMITTED_PART = 1.0
# A replica that has not begun within this many objectives is given up, if the
# request may go to another one.
OVERDUE_OBJECTIVES = 2.0


@dataclass(slots=True)
class Progress:
    """How far a request has come.

    Attributes
    ----------
    excluded : set of str
        Ids of replicas that it does not go to again.
    runs, tries : int
        Attempts that may have run, and all of them.
    last_event : int or None
        Id of the stream's last event that the caller has.
    first_event_at : timedelta or None
        When the first event went on to the caller.
    awaited : str or None
        Id of the replica where it last waited for an adapter in vain.
    waits : int
        How often it did, one time after the other.
    """

    excluded: set = field(default_factory=set)
    runs: int = 0
    tries: int = 0
    last_event: int | None = None
    first_event_at: timedelta | None = None
    awaited: str | None = None
    waits: int = 0

    def note_wait(self, replica_id):
        """Take note that a replica had not loaded the adapter in time."""
        self.waits = self.waits + 1 if replica_id == self.awaited else 1
        self.awaited = replica_id


class Forwarding:
    """Carry one CallerRequest to replicas and the answer to a CallerSink.

    Parameters
    ----------
    context : GatewayContext
        Of the process.
    request : CallerRequest
        What the caller sent.
    sink : CallerSink
        Takes the answer.
    """

    def __init__(self, context, request, sink):
        self.context = context
        self.request = request
        self.sink = sink
        self.progress = Progress(last_event=request.last_event)
        self.route = None
        self.team = None
        self.service = None
        self.began = context.clock.monotonic()
        self.deadline = None
        self._charged = 0
        self._popularity = 0.0
        self._last_error = None

    async def run(self):
        """Answer the request; never fails."""
        try:
            self._admit()
            await self._forward()
            self._report(ANSWERED)
        except RequestRefused as error:
            self._refund()
            self._end(error, self.sink.refuse)
        except (TimedOut, OutcomeUnknown) as error:
            self._end(error, self.sink.fail)
        except CancelledError:
            self._refund()
            self._report("CallerLeft")
        except Exception:
            # A bug must not leave the caller without an answer.
            self.context.note_bug(Failure())
            self._end(OutcomeUnknown("internal error"), self.sink.fail)

    def time_left(self):
        """Return the timedelta until the request's deadline."""
        return self.deadline - self.context.clock.monotonic()

    def _admit(self):
        """Find route and team, and charge the team."""
        configuration = self.context.configuration
        if self.context.is_refusing:
            raise NotReady("the process is about to end", NO_DELAY)
        if configuration is None:
            raise NotReady("no configuration is known yet", BUSY_RETRY_AFTER)
        request = self.request
        longest = configuration.caller_limits.body_bytes
        if len(request.body) > longest:
            raise BodyTooLarge(longest)
        self.route = configuration.find_route(request.host, request.path)
        if configuration.teams and not self.route.is_open:
            self.team = configuration.find_team(request.key)
        patience = self.route.timeout
        if request.patience is not None:
            patience = min(patience, request.patience)
        self.deadline = self.began + patience
        self.service = self.route.choose_service(self.context.draw())
        self._charge()
        if request.prompt is not None:
            popularity = self.context.popularity
            self._popularity = popularity.note(request.prompt.target, self.began)

    def _charge(self):
        if self.team is None:
            return
        tokens = self.request.token_cost
        if tokens is None:
            tokens = self.team.plain_tokens
        self.context.quotas.take(self.team, tokens, self.began)
        self._charged = tokens

    def _refund(self):
        if self._charged and self.progress.runs == 0:
            self.context.quotas.give_back(self.team, self._charged)
            self._charged = 0

    async def _forward(self):
        budget = self.context.find_retry_budget(self.service)
        while True:
            choice = await self._place()
            if self.progress.tries and not self._may_retry(budget):
                raise self._give_up(self._last_error)
            if not self.progress.tries:
                budget.note_request(self.context.clock.monotonic())
            try:
                await self._attempt(choice)
                return
            except NotSent as error:
                self._last_error = error
            except NotRun as error:
                self._last_error = error
                self.progress.tries += 1
            except (AnswerLost, AnswerOverdue) as error:
                self._last_error = error
                self.progress.tries += 1
                self.progress.runs += 1
                if not self._may_repeat():
                    raise self._give_up(error)
            self.progress.excluded.add(choice.candidate.record.id)

    def _may_repeat(self):
        """Whether the request may run once more."""
        if self.sink.is_started and self.progress.last_event is None:
            return False
        return self.route.is_idempotent and self.progress.runs < self.route.attempts

    def _may_retry(self, budget):
        if self.progress.tries >= MOST_TRIES:
            return False
        now = self.context.clock.monotonic()
        return budget.take(now, self.context.processes)

    def _give_up(self, error):
        """Return the error to end with after an AttemptError."""
        if self.progress.runs:
            return OutcomeUnknown(str(error))
        return NoReplica(str(error), BUSY_RETRY_AFTER)

    async def _place(self):
        """Return a Choice whose adapter is in place."""
        while True:
            choice = self._choose()
            if not choice.must_load:
                return choice
            if await self._wait_for_adapter(choice):
                return choice
            self.progress.note_wait(choice.candidate.record.id)

    def _choose(self):
        prompt = self.request.prompt
        fleet = self.context.fleet
        model = None if prompt is None else prompt.target.model
        candidates = fleet.list_candidates(self.service, model, self.progress.excluded)
        if not candidates:
            raise self._end_without_replica()
        failure_domain = self.context.settings.failure_domain
        if prompt is None:
            best = choose_plain(candidates, failure_domain, self.context.draw)
            return Choice(best, NO_DELAY)
        choice = choose_engine(
            candidates,
            self._describe_need(prompt, failure_domain),
            lambda replica: self.context.read_parts.count_kept(prompt, replica),
        )
        if choice is None:
            raise self._end_without_replica()
        self._check_wait(choice)
        return choice

    def _describe_need(self, prompt, failure_domain):
        progress = self.progress
        return EngineNeed(
            prompt,
            self.context.versions.find(prompt.target),
            failure_domain,
            self._popularity * self.context.processes,
            progress.awaited if progress.waits < MOST_WAITS else None,
        )

    def _end_without_replica(self):
        if self.progress.runs:
            return OutcomeUnknown("no other replica can take the request")
        if self.context.fleet.is_loading(self.service):
            # Callers that come back one after the other don't meet in a queue.
            delay = MODEL_RETRY_AFTER * (1 + self.context.draw())
            return NoReplica(f"{self.service} is loading its model", delay)
        return NoReplica(f"no replica of {self.service}", BUSY_RETRY_AFTER)

    def _check_wait(self, choice):
        """Refuse at once what its replica could not begin in time.

        Time spent on loading an adapter does not count: it uses none of the
        engine's, and a late answer is still worth something.
        """
        if self.progress.runs:
            return
        latest = ADMITTED_PART * self.route.objective
        if choice.wait > latest:
            raise Overloaded(
                f"a wait of {choice.wait.total_seconds():.3f} s is predicted",
                max(BUSY_RETRY_AFTER, choice.wait - latest),
            )

    async def _wait_for_adapter(self, choice):
        """Return whether a replica has the adapter that it has to load."""
        record = choice.candidate.record
        target = self.request.prompt.target
        wanted = want_adapter(target, self.context.versions.find(target))
        waiter = self.context.demands.wait_for(record.id, wanted)
        self.context.tell_replica(record)
        patience = min(ADAPTER_PATIENCE, self.time_left())
        try:
            await limit(waiter, self.context.clock, patience, AnswerOverdue())
        except AnswerOverdue:
            if self.time_left() <= NO_DELAY:
                raise self._end_overdue()
            return False
        return True

    def _end_overdue(self):
        if self.progress.runs:
            return TimedOut("the time for the answer is over")
        return Overloaded("the adapter was not loaded in time", BUSY_RETRY_AFTER)

    async def _attempt(self, choice):
        attempt = Attempt(self, choice)
        clock = self.context.clock
        began = clock.monotonic()
        outcome, reason = ANSWERED, ""
        try:
            await attempt.run()
        except CancelledError as error:
            outcome, reason = type(error).__name__, "the caller has left"
            self.progress.runs += 1
            raise
        except BaseException as error:
            outcome, reason = type(error).__name__, str(error)
            raise
        finally:
            ended = AttemptEnded(
                self.request.id,
                choice.candidate.record.id,
                self.service,
                outcome,
                reason,
                attempt.status,
                clock.monotonic() - began,
                choice.wait,
                attempt.backlog,
                attempt.state_age,
                attempt.version,
            )
            self.context.observer.observe(ended)

    def find_version(self, record):
        """Return the adapter version that a replica holds for this request."""
        target = self.request.prompt.target
        if target.adapter is None:
            return None
        held = self.context.fleet.find_held(record, target.model)
        return None if held is None else held.get(target.adapter)

    def choose_attempt_time(self):
        """Return how long an attempt may take to its answer or first event."""
        left = self.time_left()
        replicas = self.context.fleet.directory.list_service(self.service)
        if not self._has_run_left or len(replicas) < 2:
            return left
        return min(left, OVERDUE_OBJECTIVES * self.route.objective)

    @property
    def can_repeat(self):
        """Whether another attempt after this one may run."""
        return self._has_run_left and not self.sink.is_started

    @property
    def _has_run_left(self):
        """Whether the request may run again if this attempt runs in vain."""
        return self.route.is_idempotent and self.progress.runs + 1 < self.route.attempts

    @property
    def is_stream(self):
        """Whether the answer is a stream of events."""
        return self.route.kind is RequestKind.STREAMING

    def _end(self, error, write):
        """End with an error: written if nothing was, else by a broken answer."""
        if self.sink.is_started:
            self.sink.abort()
        else:
            write(error)
        self._report(type(error).__name__, str(error))

    def _report(self, outcome, reason=""):
        progress = self.progress
        first = progress.first_event_at
        configuration = self.context.configuration
        self.context.observer.observe(
            RequestEnded(
                self.request.id,
                "" if self.route is None else self.route.name,
                "" if self.team is None else self.team.name,
                outcome,
                reason,
                self.sink.status,
                progress.tries,
                0 if configuration is None else configuration.version,
                None if self.deadline is None else self.deadline - self.began,
                self.context.clock.monotonic() - self.began,
                None if first is None else first - self.began,
            )
        )
