"""One request from its arrival to its final answer."""

from twisted.internet.defer import CancelledError
from twisted.python.failure import Failure

from .attempt import Attempt, NotRun
from .configuration import RequestKind
from .exceptions import (
    NO_DELAY,
    AnswerLost,
    AnswerOverdue,
    BodyTooLarge,
    NoReplica,
    NotReady,
    NotSent,
    OutcomeUnknown,
    RequestRefused,
    TimedOut,
)
from .observing import ANSWERED, AttemptEnded, RequestEnded
from .progress import Progress
from .selection import BUSY_RETRY_AFTER, ReplicaSelection

# Replicas asked in vain before a request is refused, whatever the budget allows.
MOST_TRIES = 4
# A replica that has not begun within this many objectives is given up, if the
# request may go to another one.
OVERDUE_OBJECTIVES = 2.0


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
        self.progress = Progress(last_event_id=request.last_event_id)
        self.route = None
        self.team = None
        self.service = None
        self.began = context.clock.monotonic()
        self.deadline = None
        self.popularity = 0.0
        self._charged = 0
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
        if configuration.teams and not self.route.is_public:
            self.team = configuration.find_team(request.key)
        timeout = self.route.timeout
        if request.caller_timeout is not None:
            timeout = min(timeout, request.caller_timeout)
        self.deadline = self.began + timeout
        self.service = self.route.choose_service(self.context.draw())
        self._charge()
        if request.prompt is not None:
            popularity = self.context.popularity
            self.popularity = popularity.note(request.prompt.target, self.began)

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
        selection = ReplicaSelection(self)
        while True:
            choice = await selection.find()
            if self.progress.tries and not self._may_retry(budget):
                raise self._give_up(self._last_error)
            if not self.progress.tries:
                budget.record_request(self.context.clock.monotonic())
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
        if self.sink.is_started and self.progress.last_event_id is None:
            return False
        return self.route.is_idempotent and self.progress.runs < self.route.max_attempts

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
        return (
            self.route.is_idempotent
            and self.progress.runs + 1 < self.route.max_attempts
        )

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
