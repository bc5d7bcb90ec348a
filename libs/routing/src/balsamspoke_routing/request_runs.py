"""Base class of running requests and the services that they share."""

from abc import abstractmethod
from dataclasses import dataclass

from balsamspoke_types.messages import AttemptRefused

from .attempts import AttemptOwner, AttemptTable
from .directory import ReplicaDirectory
from .fences import FenceClient
from .history import AttemptHistory
from .requests import RunningRequest
from .settings import AttemptSettings


@dataclass(frozen=True, slots=True)
class RequestContext:
    """Services shared by the running requests of one process.

    Attributes
    ----------
    clock : Clock
        Source of monotonic time and timers.
    random_source : random.Random
        Source of the random retry delays.
    table : AttemptTable
        Open attempts of this process.
    directory : ReplicaDirectory
        Directory that chooses the replicas.
    ledger : IdempotencyLedger or None
        Idempotency records of the calls with an idempotency key.
    fences : FenceClient
        Sender of FenceAttempt messages that awaits their answers.
    is_key_valid : callable
        Called with the name of a KeyRecord and the version that was checked before;
        returns whether the key may still be used.
    settings : AttemptSettings
        Limits and timeouts of attempts.
    on_done : callable
        Called with a RequestRun that no longer needs this process.
    """

    clock: object
    random_source: object
    table: AttemptTable
    directory: ReplicaDirectory
    ledger: object
    fences: FenceClient
    is_key_valid: object
    settings: AttemptSettings
    on_done: object


class RequestRun(RunningRequest, AttemptOwner):
    """A running request with a deadline and at most one open attempt.

    Parameters
    ----------
    request : GenerationRequest or CallRequest
        The request to run.
    sink : AnswerSink
        Receiver of the answer.
    context : RequestContext
        Services shared by the running requests.
    """

    def __init__(self, request, sink, context):
        self._request = request
        self._sink = sink
        self._context = context
        self._settings = context.settings
        self._history = AttemptHistory(context.settings.retry_after)
        self._excluded = set()
        self._attempt = None
        self._peer = None
        self._retry_timer = None
        self._has_ended = False
        self._deadline_at = context.clock.monotonic() + request.deadline
        self._deadline_timer = context.clock.call_later(
            request.deadline, self._handle_deadline
        )

    @property
    def has_ended(self):
        """Whether the sink has received the end of the answer."""
        return self._has_ended

    def handle_message(self, attempt, message):
        """Handle a message about the open attempt; ignore one about any other."""
        if attempt != self._attempt:
            return
        if isinstance(message, AttemptRefused):
            self._handle_refusal(message)
        else:
            self._handle_other_message(message)

    @abstractmethod
    def _handle_refusal(self, message):
        """Handle AttemptRefused for the open attempt."""

    @abstractmethod
    def _handle_other_message(self, message):
        """Handle any message other than AttemptRefused for the open attempt."""

    @abstractmethod
    def _handle_deadline(self):
        """Handle the deadline of the request."""

    def _is_key_valid(self):
        request = self._request
        if not request.key_record:
            return True
        return self._context.is_key_valid(request.key_record, request.key_version)

    def _get_time_left(self):
        return self._deadline_at - self._context.clock.monotonic()

    def _choose_retry_delay(self):
        return self._settings.retry_delay * self._context.random_source.random()

    def _open_attempt(self, attempt, peer):
        self._attempt = attempt
        self._peer = peer
        self._history.record_start()
        self._context.table.open(attempt, peer, self)

    def _close_attempt(self, exclude=True):
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            self._context.table.close(attempt)
        if exclude and self._peer is not None:
            self._excluded.add(self._peer)

    def _refuse(self, cause=None, may_run=False):
        self._end(self._sink.refuse, self._make_refusal(cause, may_run))

    def _make_refusal(self, cause, may_run):
        return self._history.make_refusal(cause, may_run)

    def _end(self, report_end, *arguments):
        if self._has_ended:
            return
        self._has_ended = True
        self._stop_timers()
        self._handle_end_of_request()
        report_end(*arguments)

    def _handle_end_of_request(self):
        self._context.on_done(self)

    def _stop_timers(self):
        self._deadline_timer.cancel()
        if self._retry_timer is not None:
            self._retry_timer.cancel()

    def _choose_replica(self, service, adapter):
        return self._context.directory.choose(
            service, adapter, frozenset(self._excluded)
        )

    def _has_other_replica(self, service, adapter):
        others = frozenset({*self._excluded, self._peer})
        return self._context.directory.choose(service, adapter, others) is not None

    def _is_exhausted(self):
        return (
            self._history.attempts_without_progress >= self._settings.maximum_attempts
        )
