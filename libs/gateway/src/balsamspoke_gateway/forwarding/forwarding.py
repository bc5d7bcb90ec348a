"""Forwarding of one request, from its arrival to its final answer."""

from functools import cached_property

from twisted.internet.defer import CancelledError
from twisted.python.failure import Failure

from ..admission.prompts import cancel_admission
from ..configuration import RequestKind
from ..exceptions import (
    NO_DELAY,
    AnswerLost,
    AnswerOverdue,
    BodyTooLarge,
    GatewayError,
    NoReplica,
    NotReady,
    NotSent,
    OutcomeUnknown,
    OverLimit,
    PromptQuarantined,
    RequestRefused,
    StreamNotResumable,
    TimedOut,
)
from ..observing import ANSWERED
from ..placement.selection import ReplicaSelection
from ..quarantine import make_fingerprint
from ..scheduling.coordinator import BUSY_RETRY_AFTER
from ..stream_versions import StreamOrigin, make_stream_keys
from .attempt import Attempt, NotRun
from .outcomes import make_attempt_ended, make_request_ended
from .progress import Progress
from .request_retries import RequestRetries

# An attempt times out after this many latency objectives if the request may go to
# another replica.
OVERDUE_OBJECTIVES = 2.0


class Forwarding:
    """Forward a CallerRequest to replicas, and the answer to a CallerSink.

    Parameters
    ----------
    context : GatewayContext
        Shared state of the process.
    request : CallerRequest
        The request.
    sink : CallerSink
        Writes the answer to the caller.

    Attributes
    ----------
    progress : Progress
        State that carries over between attempts.
    route : Route or None
        Route of the request; None until admission.
    team : Team or None
        Team of the caller; None until admission, or if the route needs no key.
    service : str or None
        Name of the chosen service; None until admission.
    started_at : timedelta
        Monotonic time at which the request arrived.
    deadline : timedelta or None
        Monotonic time at which the answer must be complete; None until admission.
    popularity : float
        Requests a second for the same adapter at this process.
    """

    def __init__(self, context, request, sink):
        self.context = context
        self.request = request
        self.sink = sink
        self.progress = Progress(last_event_id=request.last_event_id)
        self.route = None
        self.team = None
        self.service = None
        self.started_at = context.clock.monotonic()
        self.deadline = None
        self.popularity = 0.0
        self._charged_tokens = 0
        self._last_error = None
        self._is_ending = False

    def mark_ending(self):
        """Let the next cancellation be that of the process, not of the caller."""
        self._is_ending = True

    async def run(self):
        """Answer the request; all errors are turned into answers."""
        try:
            await self.context.startup.wait()
            self._admit()
            await self._find_stream_origin()
            await self._forward()
            self._report_end(ANSWERED)
        except RequestRefused as error:
            self._refund()
            self._finish_with_error(error, self.sink.refuse)
        except (TimedOut, OutcomeUnknown) as error:
            self._finish_with_error(error, self.sink.fail)
        except CancelledError:
            self._refund()
            if self._is_ending:
                self._finish_at_stop()
            else:
                self._report_end("CallerLeft")
        except Exception:
            # A bug must not leave the caller without an answer.
            self.context.report_bug(Failure())
            self._finish_with_error(OutcomeUnknown("internal error"), self.sink.fail)
        finally:
            if self.progress.software_version is not None:
                self.context.stream_versions.record_end(self._stream_keys)

    def _finish_at_stop(self):
        reason = "the process ends"
        if self.progress.possible_runs:
            self._finish_with_error(OutcomeUnknown(reason), self.sink.fail)
        else:
            self._finish_with_error(NotReady(reason, NO_DELAY), self.sink.refuse)

    def time_left(self):
        """Return the timedelta until the request's deadline."""
        return self.deadline - self.context.clock.monotonic()

    def _admit(self):
        """Determine the route, team and service, and charge the team."""
        configuration = self.context.configuration
        if self.context.is_refusing:
            raise NotReady("the process is about to end", NO_DELAY)
        if configuration is None:
            raise NotReady("no configuration is known yet", BUSY_RETRY_AFTER)
        if self.context.is_behind_peers:
            raise NotReady("a peer has a newer configuration", BUSY_RETRY_AFTER)
        if not self.context.drained_domains.is_known:
            reason = "the drained failure domains are not known yet"
            raise NotReady(reason, BUSY_RETRY_AFTER)
        request = self.request
        max_body_bytes = configuration.caller_limits.body_bytes
        if len(request.body) > max_body_bytes:
            raise BodyTooLarge(max_body_bytes)
        self.route = configuration.find_route(request.host, request.path)
        if configuration.teams and not self.route.is_public:
            self.team = configuration.find_team(request.key)
        timeout = self.route.timeout
        if request.caller_timeout is not None:
            timeout = min(timeout, request.caller_timeout)
        self.deadline = self.started_at + timeout
        self.service = self.route.choose_service(self.context.draw())
        self._charge()
        if request.prompt is not None:
            self.context.quarantine.record_prompt(request.prompt)
            popularity = self.context.popularity
            count = popularity.count_request(request.prompt.target, self.started_at)
            self.popularity = popularity.estimate_rate(count)

    async def _find_stream_origin(self):
        """Restrict a stream that the caller resumes to the software that began it."""
        if not self.is_stream or self.request.last_event_id is None:
            return
        versions = self.context.stream_versions
        origin = await versions.find(self._stream_keys, self.service)
        if origin is None:
            known = versions.describe_versions(self.service)
            reason = "not known here which software version began the stream"
            raise StreamNotResumable(f"{reason}: {known}", NO_DELAY)
        if not self.route.leads_to(origin.service):
            reason = f"the route no longer leads to {origin.service}"
            raise StreamNotResumable(reason)
        self.service = origin.service
        self.progress.software_version = origin.version
        self.progress.is_resumption = True

    async def register_version(self, record):
        """Register the software version of a replica that brings the first event.

        Parameters
        ----------
        record : ReplicaRecord
            The replica.
        """
        if self._is_resumable_start:
            await self.context.stream_versions.register(
                record.service, record.software_version, self.request.caller_timeout
            )

    def record_first_event(self, record, adapter_version):
        """Record where an attempt brings its first event.

        Parameters
        ----------
        record : ReplicaRecord
            The replica.
        adapter_version : int or None
            Version of the adapter there.
        """
        if not self.sink.is_started:
            self.progress.adapter_version = adapter_version
        if self._is_resumable_start:
            origin = StreamOrigin(record.service, record.software_version)
            self.context.stream_versions.record_start(self._stream_keys, origin)
        if self.progress.software_version is None:
            self.progress.software_version = record.software_version

    @property
    def _is_resumable_start(self):
        """Whether the next event is the first one of a stream that may be resumed."""
        return self.progress.software_version is None and self.route.is_idempotent

    @property
    def _stream_keys(self):
        """StreamKeys of the stream."""
        request_id = self.resumed_id or None
        return make_stream_keys(self.team_name, request_id, self.fingerprint)

    def _charge(self):
        if self.team is None:
            return
        if self.team.rate > 0 and self.context.standing.processes is None:
            reason = "the processes that share the team's limit are not known yet"
            raise NotReady(reason, BUSY_RETRY_AFTER)
        tokens = self.request.token_cost
        if tokens is None:
            tokens = self.team.plain_tokens
        try:
            self.context.quotas.take(self.team, tokens, self.started_at)
        except OverLimit as error:
            scheduling = self.context.scheduling
            error.retry_after = scheduling.find_limit_return(self.team, tokens, error)
            raise
        self._charged_tokens = tokens

    def _refund(self):
        if self._charged_tokens and self.progress.possible_runs == 0:
            self.context.quotas.refund(self.team, self._charged_tokens)
            self._charged_tokens = 0

    async def _forward(self):
        retries = RequestRetries(
            self.context, self.request.id, self.service, self.progress
        )
        selection = ReplicaSelection(self)
        while True:
            self._check_quarantine()
            choice = await selection.find()
            try:
                self._check_quarantine()
                if not retries.allow_attempt():
                    raise self._make_final_error(self._last_error)
            except GatewayError:
                cancel_admission(self.context, choice)
                raise
            try:
                await self._run_attempt(choice)
                return
            except NotSent as error:
                self._last_error = error
                retries.give_back()
            except NotRun as error:
                self._last_error = error
                self.progress.failed_attempts += 1
            except (AnswerLost, AnswerOverdue) as error:
                self._last_error = error
                self.progress.failed_attempts += 1
                self.progress.possible_runs += 1
                if not self._can_run_again():
                    raise self._make_final_error(error)
            self.progress.excluded_replicas.add(choice.candidate.record.id)

    def _check_quarantine(self):
        """Raise PromptQuarantined, or OutcomeUnknown if the request may have run."""
        try:
            self.context.quarantine.check(self.parts)
        except PromptQuarantined as error:
            if self.progress.possible_runs:
                raise OutcomeUnknown(str(error)) from error
            raise

    def _can_run_again(self):
        """Return whether the request may run once more."""
        if self.sink.is_started and not self.progress.can_resume:
            return False
        return (
            self.route.is_idempotent
            and self.progress.possible_runs < self.route.max_attempts
        )

    def _make_final_error(self, error):
        """Return the error that ends the request after an AttemptError."""
        if self.progress.possible_runs:
            return OutcomeUnknown(str(error))
        return NoReplica(str(error), BUSY_RETRY_AFTER)

    async def _run_attempt(self, choice):
        attempt = Attempt(self, choice)
        clock = self.context.clock
        started_at = clock.monotonic()
        outcome, reason = ANSWERED, ""
        try:
            await attempt.run()
        except CancelledError as error:
            outcome, reason = type(error).__name__, "the caller disconnected"
            self.progress.possible_runs += 1
            raise
        except BaseException as error:
            outcome, reason = type(error).__name__, str(error)
            raise
        finally:
            duration = clock.monotonic() - started_at
            ended = make_attempt_ended(self, choice, attempt, outcome, reason, duration)
            self.context.observer.observe(ended)

    def list_shared_parts(self):
        """Return the ids (tuple of str) of the prompt parts that others may share."""
        prompt = self.request.prompt
        return () if prompt is None else prompt.shared_part_ids

    @property
    def resumed_id(self):
        """Id of the request that brought the stream's first event; empty if unknown."""
        if self.request.last_event_id is None:
            return self.request.id
        return self.request.resumed_id or ""

    @cached_property
    def fingerprint(self):
        """Text by which the request is recognised if it is sent again."""
        return make_fingerprint(self.request, self.team_name)

    @property
    def parts(self):
        """Parts (tuple of str) by which the quarantine knows the request."""
        return (*self.list_shared_parts(), self.fingerprint)

    def find_held_version(self, record):
        """Return the adapter version that a replica holds for this request, or None."""
        target = self.request.prompt.target
        if target.adapter is None:
            return None
        held = self.context.fleet.find_held(record, target.model)
        return None if held is None else held.get(target.adapter)

    def choose_overdue_time(self):
        """Return the time after which an answer or first event is overdue, or None.

        It is None if the request can't go to another replica.
        """
        replicas = self.context.fleet.directory.list_service(
            self.service, self.progress.software_version
        )
        if not self._has_runs_remaining or len(replicas) < 2:
            return None
        return OVERDUE_OBJECTIVES * self.route.objective

    @property
    def team_name(self):
        """Name of the caller's team; empty if there is none."""
        return "" if self.team is None else self.team.name

    @property
    def priority(self):
        """Priority of the request; 0 is the most urgent."""
        if self.team is not None and self.team.priority is not None:
            return self.team.priority
        return self.route.priority

    @property
    def stated_priority(self):
        """Priority that the replica is told; None where the route is no stream.

        What the replica is told no priority of waits for all other prompts.
        """
        return self.priority if self.is_stream else None

    @property
    def can_repeat(self):
        """Whether the request may run again if the current attempt fails."""
        return self._has_runs_remaining and not self.sink.is_started

    @property
    def _has_runs_remaining(self):
        """Whether the route allows another run after the current attempt."""
        return (
            self.route.is_idempotent
            and self.progress.possible_runs + 1 < self.route.max_attempts
        )

    @property
    def is_stream(self):
        """Whether the answer is a stream of events."""
        return self.route.kind is RequestKind.STREAMING

    def _finish_with_error(self, error, write):
        """Write an error answer, or truncate the answer if it has started."""
        if self.sink.is_started:
            self.sink.abort()
        else:
            write(error)
        self._report_end(type(error).__name__, str(error))

    def _report_end(self, outcome, reason=""):
        self.context.observer.observe(make_request_ended(self, outcome, reason))
