"""Calls of plain services without an idempotency record."""

from balsamspoke_types.messages import (
    AttemptFailed,
    AttemptFenced,
    CallService,
    FenceAttempt,
    ServiceAnswered,
)
from balsamspoke_types.outcomes import Cause, Ran

from .history import NON_RETRYABLE_CAUSES
from .request_runs import RequestRun


class CallRun(RequestRun):
    """Run one call by consecutive attempts.

    An idempotent call is retried after any attempt without an answer. Any other call
    is retried only after an attempt that is known never to run.

    Parameters
    ----------
    request : CallRequest
        The request to run.
    sink : AnswerSink
        Receiver of the answer.
    context : RequestContext
        Services shared by the running requests.
    """

    def __init__(self, request, sink, context):
        super().__init__(request, sink, context)
        self._has_failed = False
        self._retry_waits = 0
        self._wait_timer = None

    def start(self):
        """Start the first attempt, or refuse the request."""
        self._try_next()

    def cancel(self):
        """Cancel the request; a call that was handed over isn't undone."""
        if self._has_ended:
            return
        may_run = self._attempt is not None
        if may_run:
            self._context.table.abandon(self._attempt)
        self._close_attempt()
        self._refuse(Cause.CANCELLED, may_run)

    def credit(self, count):
        """Do nothing, as the answer of a call arrives as a whole."""

    def handle_connection_lost(self, attempt):
        """Retry an idempotent call elsewhere; else wait for the connection."""
        if attempt != self._attempt:
            return
        if self._request.idempotent:
            self._handle_unknown(Cause.BACKEND_LOST)
        elif not self._is_past_deadline():
            self._start_wait_timer(
                self._settings.reconnect_timeout, self._handle_reconnect_timeout
            )

    def handle_connection_restored(self, attempt):
        """Fence the attempt, to find out whether it was handed over."""
        if attempt != self._attempt:
            return
        if not self._is_past_deadline():
            self._cancel_wait_timer()
        self._send_fence()

    def handle_silence(self, attempt):
        """Retry an idempotent call elsewhere if another replica is usable."""
        can_repeat = attempt == self._attempt and self._request.idempotent
        if can_repeat and self._has_other_replica(self._request.service, None):
            self._context.table.abandon(attempt)
            self._handle_unknown(Cause.BACKEND_LOST)

    def _handle_refusal(self, message):
        self._history.record_refused(message)
        self._handle_not_run(message.cause)

    def _handle_other_message(self, message):
        if isinstance(message, ServiceAnswered):
            self._handle_answer(message.response)
        elif isinstance(message, AttemptFailed):
            self._handle_unknown(message.cause)
        elif isinstance(message, AttemptFenced):
            self._handle_fence(message.handed_over)

    def _handle_answer(self, response):
        self._close_attempt()
        self._end(self._sink.answer, response)

    def _handle_not_run(self, cause):
        """Continue after an attempt that is known never to run."""
        self._close_attempt()
        if cause in NON_RETRYABLE_CAUSES:
            self._refuse()
        else:
            self._try_next()

    def _handle_unknown(self, cause):
        """Continue after an attempt that may have run."""
        self._history.record_unknown(cause)
        self._close_attempt()
        if self._request.idempotent:
            self._has_failed = True
            self._try_next()
        else:
            self._refuse()

    def _handle_fence(self, handed_over):
        if not handed_over:
            self._history.record_not_run(Cause.BACKEND_LOST)
            self._handle_not_run(Cause.BACKEND_LOST)
        elif self._is_past_deadline():
            self._handle_unknown(Cause.DEADLINE)

    def _send_fence(self):
        self._context.table.send(self._attempt, FenceAttempt(self._attempt))

    def _handle_reconnect_timeout(self):
        if self._attempt is not None:
            self._handle_unknown(Cause.BACKEND_LOST)

    def _handle_deadline(self):
        if self._attempt is None:
            self._refuse(Cause.DEADLINE)
        elif self._request.idempotent:
            self._abandon_at_deadline()
        else:
            # If the side process can rule out that the attempt ever runs, the refusal
            # says NOT_RUN.
            self._send_fence()
            self._start_wait_timer(
                self._settings.fence_timeout, self._handle_fence_timeout
            )

    def _abandon_at_deadline(self):
        self._context.table.abandon(self._attempt)
        self._close_attempt()
        self._refuse(Cause.DEADLINE, may_run=True)

    def _handle_fence_timeout(self):
        if self._attempt is not None:
            self._handle_unknown(Cause.DEADLINE)

    def _is_past_deadline(self):
        return self._get_time_left().total_seconds() <= 0

    def _try_next(self):
        if self._has_ended or self._attempt is not None:
            return
        if self._is_past_deadline():
            self._refuse(Cause.DEADLINE)
        elif not self._is_key_valid():
            self._refuse(Cause.KEY_REJECTED)
        elif self._is_exhausted():
            self._refuse()
        else:
            self._try_replica()

    def _try_replica(self):
        peer = self._choose_replica(self._request.service, None)
        if peer is not None:
            self._prepare_attempt(self._context.table.allocate_id(), peer)
        elif (
            self._has_failed and self._retry_waits < self._settings.maximum_retry_waits
        ):
            self._wait_for_replica()
        else:
            self._refuse()

    def _wait_for_replica(self):
        self._retry_waits += 1
        self._excluded.clear()
        delay = self._choose_retry_delay() * self._retry_waits
        self._retry_timer = self._context.clock.call_later(delay, self._try_next)

    def _prepare_attempt(self, attempt, peer):
        """Send an attempt; KeyedCallRun first claims the idempotency record."""
        self._send_attempt(attempt, peer)

    def _send_attempt(self, attempt, peer):
        request = self._request
        self._open_attempt(attempt, peer)
        message = CallService(
            attempt=attempt,
            request=request.request,
            team=request.team,
            service=request.service,
            call=request.call,
            idempotent=request.idempotent,
            deadline=max(
                self._get_time_left() - self._settings.deadline_margin,
                self._settings.deadline_margin,
            ),
            key_record=request.key_record,
            key_version=request.key_version,
        )
        self._context.table.send(attempt, message)

    def _make_refusal(self, cause, may_run):
        refusal = super()._make_refusal(cause, may_run)
        is_repeatable = refusal.ran is Ran.NOT_RUN or self._request.idempotent
        if is_repeatable or refusal.cause is Cause.IN_PROGRESS:
            return refusal
        # No Retry-After: a repeat could run the call twice.
        return type(refusal)(refusal.cause, refusal.ran, refusal.message)

    def _close_attempt(self, exclude=True):
        super()._close_attempt(exclude)
        self._cancel_wait_timer()

    def _start_wait_timer(self, delay, function):
        self._cancel_wait_timer()
        self._wait_timer = self._context.clock.call_later(delay, function)

    def _cancel_wait_timer(self):
        if self._wait_timer is not None:
            self._wait_timer.cancel()
            self._wait_timer = None

    def _stop_timers(self):
        super()._stop_timers()
        self._cancel_wait_timer()
