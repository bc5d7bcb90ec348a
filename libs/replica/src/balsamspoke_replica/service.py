"""Replica of a plain service, which hands over each call at most once."""

from collections import deque
from dataclasses import dataclass
from datetime import timedelta

from balsamspoke_types.exceptions import BackendRefused, BackendUnreachable
from balsamspoke_types.identifiers import ProcessId
from balsamspoke_types.messages import (
    AttemptFailed,
    CallService,
    ReplicaReport,
    ServiceAnswered,
)
from balsamspoke_types.outcomes import Cause

from .base import Replica
from .events import EngineDown, RequestStarted
from .ledger import AttemptState
from .settings import DEFAULT_SETTINGS


@dataclass(frozen=True, slots=True, eq=False)
class _QueuedCall:
    message: CallService
    peer: ProcessId
    arrival: timedelta
    deadline: timedelta
    tokens: int = 1


class ServiceReplica(Replica):
    """Queue calls for one plain service and return its answers.

    The side process next to the service runs it and serves entry processes with it.

    Parameters
    ----------
    process : ProcessId
        The side process that runs the replica.
    service_name : str
        Name of the plain service.
    clock : Clock
        Monotonic time and timers.
    random_source : random.Random
        Unused; accepted because EngineReplica takes one too.
    service : PlainServiceClient
        Client of the backend server.
    send : callable
        Called with a ProcessId and the message to send to it.
    is_key_valid : callable
        Called with the name of a key record and the version of it that the entry
        process checked; returns whether the key is still valid.
    settings : ReplicaSettings
        Limits and intervals.
    on_event : callable or None
        Called with each event; the classes are in the module ``events``.
    """

    def __init__(
        self,
        process,
        service_name,
        clock,
        random_source,
        service,
        send,
        is_key_valid,
        settings=DEFAULT_SETTINGS,
        on_event=None,
    ):
        super().__init__(process, clock, send, is_key_valid, settings, on_event)
        self.service_name = service_name
        self._service = service
        self._call_queue = deque()
        self._running = {}
        self._is_up = False
        self._poll_timer = None

    def start(self):
        """Start sending reports and polling the service for readiness."""
        super().start()
        self._poll()

    def stop(self):
        """Stop immediately; running calls go on at the service."""
        super().stop()
        if self._poll_timer is not None:
            self._poll_timer.cancel()

    def set_model(self, model):
        """Ignore the model: a plain service has none."""

    def peer_message(self, peer, message):
        """Handle a message, and return whether it is of a type for this replica."""
        if isinstance(message, CallService):
            if not self._is_stopped and self._is_new_attempt(peer, message.attempt):
                self._receive_call(peer, message)
            return True
        return not self._is_stopped and self._handle_common_message(peer, message)

    def report(self):
        """Return a ReplicaReport with the next sequence number."""
        return ReplicaReport(
            self.service_name,
            self._next_sequence(),
            len(self._running),
            len(self._queued),
            self._queued_tokens,
            self._settings.service_concurrency,
            self._is_accepting(),
        )

    def describe(self):
        """Return the state for operators as a dict."""
        return {
            "service": self.service_name,
            "accepting": self._is_accepting(),
            "up": self._is_up,
            "running": len(self._running),
            "queued": len(self._queued),
            "remembered_attempts": len(self._ledger),
        }

    def _receive_call(self, peer, call):
        self._reporter.record_request(peer)
        cause = self._find_refusal_cause(peer, call)
        if cause is None and call.service != self.service_name:
            cause = Cause.NO_REPLICA
        if cause is None and len(self._queued) >= self._settings.queued_requests:
            cause = Cause.OVERLOADED
        if cause is not None:
            wait = self._estimate_wait(self._settings.service_concurrency)
            self._refuse(peer, call, cause, wait)
            return
        now = self._clock.monotonic()
        request = _QueuedCall(call, peer, now, now + call.deadline)
        self._enqueue(request)
        self._call_queue.append(request)
        self._dispatch()

    def _dispatch(self):
        while (
            self._call_queue and len(self._running) < self._settings.service_concurrency
        ):
            request = self._call_queue.popleft()
            if self._queued.get(request.message.attempt) is request:
                self._hand_over(request)

    def _hand_over(self, request):
        message = request.message
        now = self._clock.monotonic()
        if not self._dequeue_for_hand_over(request, now):
            return
        self._running[message.attempt] = request
        self._on_event(
            RequestStarted(message.attempt, message.team, now - request.arrival)
        )
        result = self._service.call(message.call)
        result.addCallbacks(
            self._handle_response,
            self._handle_failure,
            (request, now),
            None,
            (request,),
            None,
        )

    def _handle_response(self, response, request, started):
        self._record_duration(self._clock.monotonic() - started)
        attempt = request.message.attempt
        self._end(request, ServiceAnswered(attempt, response))

    def _handle_failure(self, failure, request):
        message = request.message
        if failure.check(BackendUnreachable, BackendRefused):
            cause = Cause.BACKEND_LOST
            if failure.check(BackendRefused):
                cause = Cause.BACKEND_FAILED
            else:
                self._set_is_up(False, failure.getErrorMessage())
            if self._running.pop(message.attempt, None) is not None:
                self._refuse_unless_stopped(request, cause)
            self._handle_call_end()
            return
        self._end(request, AttemptFailed(message.attempt, Cause.BACKEND_LOST))

    def _refuse_unless_stopped(self, request, cause):
        if not self._is_stopped:
            self._refuse(request.peer, request.message, cause)

    def _end(self, request, message):
        if self._running.pop(request.message.attempt, None) is None:
            return
        if not self._is_stopped:
            self._ledger.set(request.message.attempt, AttemptState.HANDED_OVER)
            self._outbox.send(request.peer, message)
        self._handle_call_end()

    def _handle_call_end(self):
        if not self._is_stopped:
            self._dispatch()
        self._notify_if_drained()

    def _cancel_running(self, attempt):
        """Let the call finish, since it can't be undone."""

    def _abort_running(self):
        for request in list(self._running.values()):
            attempt = request.message.attempt
            self._end(request, AttemptFailed(attempt, Cause.STOPPING))

    def _count_running(self):
        return len(self._running)

    def _is_running(self, attempt):
        return attempt in self._running

    def _is_accepting(self):
        return (
            self._is_started
            and not self._is_stopped
            and self._drain_waiters is None
            and self._is_up
        )

    def _poll(self):
        if self._is_stopped:
            return
        result = self._service.check()
        result.addCallbacks(
            lambda _: self._set_is_up(True),
            lambda failure: self._set_is_up(False, failure.getErrorMessage()),
        )
        self._poll_timer = self._clock.call_later(
            self._settings.poll_interval, self._poll
        )

    def _set_is_up(self, is_up, reason=""):
        if self._is_up and not is_up:
            self._on_event(EngineDown(reason))
        self._is_up = is_up
        self._update_accepting()
