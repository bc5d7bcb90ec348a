"""What running generations and running calls have in common."""

from abc import abstractmethod
from dataclasses import dataclass

from balsamspoke_types.messages import AttemptRefused

from .attempts import AttemptOwner, AttemptTable
from .directory import ReplicaDirectory
from .fences import FenceDesk
from .history import AttemptHistory
from .requests import RunningRequest
from .settings import AttemptSettings


@dataclass(frozen=True, slots=True)
class RequestContext:
    """What every running request of one process uses.

    Attributes
    ----------
    clock : Clock
        Time.
    random_source : random.Random
        Draws waits.
    table : AttemptTable
        The open attempts.
    directory : ReplicaDirectory
        Chooses replicas.
    ledger : IdempotencyLedger or None
        Keeps idempotency records.
    fences : FenceDesk
        Asks about attempts of other processes.
    is_key_valid : callable
        Whether a KeyRecord's name and version are still good.
    settings : AttemptSettings
        Bounds.
    note_done : callable
        Called with a request that needs this process no more.
    """

    clock: object
    random_source: object
    table: AttemptTable
    directory: ReplicaDirectory
    ledger: object
    fences: FenceDesk
    is_key_valid: object
    settings: AttemptSettings
    note_done: object


class RequestRun(RunningRequest, AttemptOwner):
    """One request, its deadline and at most one open attempt.

    Parameters
    ----------
    request : GenerationRequest or CallRequest
        What is asked for.
    sink : AnswerSink
        Takes the answer.
    context : RequestContext
        What is used.
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
        self._ended = False
        self._deadline_at = context.clock.monotonic() + request.deadline
        self._deadline_timer = context.clock.call_later(
            request.deadline, self._pass_deadline
        )

    @property
    def has_ended(self):
        """Whether the sink was told the end."""
        return self._ended

    def take_message(self, attempt, message):
        """Take a message about the open attempt."""
        if attempt != self._attempt:
            return
        if isinstance(message, AttemptRefused):
            self._take_refusal(message)
        else:
            self._take_other_message(message)

    @abstractmethod
    def _take_refusal(self, message):
        """Take AttemptRefused of the open attempt."""

    @abstractmethod
    def _take_other_message(self, message):
        """Take any other message of the open attempt."""

    @abstractmethod
    def _pass_deadline(self):
        """Note that the deadline has passed."""

    def _is_key_valid(self):
        request = self._request
        if not request.key_record:
            return True
        return self._context.is_key_valid(request.key_record, request.key_version)

    def _get_time_left(self):
        return self._deadline_at - self._context.clock.monotonic()

    def _draw_delay(self):
        return self._settings.retry_delay * self._context.random_source.random()

    def _open_attempt(self, attempt, peer):
        self._attempt = attempt
        self._peer = peer
        self._history.note_begun()
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

    def _end(self, tell, *arguments):
        if self._ended:
            return
        self._ended = True
        self._stop_timers()
        self._after_end()
        tell(*arguments)

    def _after_end(self):
        self._context.note_done(self)

    def _stop_timers(self):
        self._deadline_timer.cancel()
        if self._retry_timer is not None:
            self._retry_timer.cancel()

    def _choose(self, service, adapter):
        return self._context.directory.choose(
            service, adapter, frozenset(self._excluded)
        )

    def _has_other_replica(self, service, adapter):
        others = frozenset({*self._excluded, self._peer})
        return self._context.directory.choose(service, adapter, others) is not None

    def _is_exhausted(self):
        return self._history.without_progress >= self._settings.maximum_attempts
