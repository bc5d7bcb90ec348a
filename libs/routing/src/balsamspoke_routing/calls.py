"""Run a call of a plain service that has no idempotency record."""

from balsamspoke_types.messages import (
    AttemptFailed,
    AttemptFenced,
    CallService,
    FenceAttempt,
    ServiceAnswered,
)
from balsamspoke_types.outcomes import Cause, Ran

from .history import FINAL_CAUSES
from .running import RequestRun


class CallRun(RequestRun):
    """One call and its attempts, one after another.

    An idempotent call is tried again whenever an attempt brought no answer; any
    other only after an attempt that is known never to run.
    """

    def __init__(self, request, sink, context):
        super().__init__(request, sink, context)
        self._has_failed = False
        self._waits = 0
        self._wait_timer = None

    def start(self):
        """Make the first attempt, or refuse."""
        self._try_next()

    def cancel(self):
        """Give the answer up; a call that was handed over isn't taken back."""
        if self._ended:
            return
        may_run = self._attempt is not None
        if may_run:
            self._context.table.abandon(self._attempt)
        self._close_attempt()
        self._refuse(Cause.CANCELLED, may_run)

    def credit(self, count):
        """Do nothing: the answer of a call comes in one piece."""

    def lose_connection(self, attempt):
        """Try again elsewhere, or wait for the connection if that isn't allowed."""
        if attempt != self._attempt:
            return
        if self._request.idempotent:
            self._take_unknown(Cause.BACKEND_LOST)
        elif not self._is_late():
            self._set_wait(self._settings.reconnect_wait, self._give_up_connection)

    def regain_connection(self, attempt):
        """Ask whether the attempt got through."""
        if attempt != self._attempt:
            return
        if not self._is_late():
            self._cancel_wait()
        self._ask_fence()

    def notice_silence(self, attempt):
        """Try again elsewhere, if that is allowed and another replica can."""
        is_ours = attempt == self._attempt and self._request.idempotent
        if is_ours and self._has_other_replica(self._request.service, None):
            self._context.table.abandon(attempt)
            self._take_unknown(Cause.BACKEND_LOST)

    def _take_refusal(self, message):
        self._history.note_refused(message)
        self._take_not_run(message.cause)

    def _take_other_message(self, message):
        if isinstance(message, ServiceAnswered):
            self._take_answer(message.response)
        elif isinstance(message, AttemptFailed):
            self._take_unknown(message.cause)
        elif isinstance(message, AttemptFenced):
            self._take_fence(message.handed_over)

    def _take_answer(self, response):
        self._close_attempt()
        self._end(self._sink.answer, response)

    def _take_not_run(self, cause):
        """Go on after an attempt that never runs."""
        self._close_attempt()
        if cause in FINAL_CAUSES:
            self._refuse()
        else:
            self._try_next()

    def _take_unknown(self, cause):
        """Go on after an attempt that may have run."""
        self._history.note_unknown(cause)
        self._close_attempt()
        if self._request.idempotent:
            self._has_failed = True
            self._try_next()
        else:
            self._refuse()

    def _take_fence(self, handed_over):
        if not handed_over:
            self._history.note_not_run(Cause.BACKEND_LOST)
            self._take_not_run(Cause.BACKEND_LOST)
        elif self._is_late():
            self._take_unknown(Cause.DEADLINE)

    def _ask_fence(self):
        self._context.table.send(self._attempt, FenceAttempt(self._attempt))

    def _give_up_connection(self):
        if self._attempt is not None:
            self._take_unknown(Cause.BACKEND_LOST)

    def _pass_deadline(self):
        if self._attempt is None:
            self._refuse(Cause.DEADLINE)
        elif self._request.idempotent:
            self._abandon_at_deadline()
        else:
            # The side process may be able to promise that it never runs.
            self._ask_fence()
            self._set_wait(self._settings.fence_wait, self._give_up_fence)

    def _abandon_at_deadline(self):
        self._context.table.abandon(self._attempt)
        self._close_attempt()
        self._refuse(Cause.DEADLINE, may_run=True)

    def _give_up_fence(self):
        if self._attempt is not None:
            self._take_unknown(Cause.DEADLINE)

    def _is_late(self):
        return self._get_time_left().total_seconds() <= 0

    def _try_next(self):
        if self._ended or self._attempt is not None:
            return
        if self._is_late():
            self._refuse(Cause.DEADLINE)
        elif not self._is_key_valid():
            self._refuse(Cause.KEY_REJECTED)
        elif self._is_exhausted():
            self._refuse()
        else:
            self._try_replica()

    def _try_replica(self):
        peer = self._choose(self._request.service, None)
        if peer is not None:
            self._prepare(self._context.table.draw_id(), peer)
        elif self._has_failed and self._waits < self._settings.maximum_waits:
            self._wait_for_replica()
        else:
            self._refuse()

    def _wait_for_replica(self):
        self._waits += 1
        self._excluded.clear()
        delay = self._draw_delay() * self._waits
        self._retry_timer = self._context.clock.call_later(delay, self._try_next)

    def _prepare(self, attempt, peer):
        """Do what must precede handing the call over."""
        self._hand_over(attempt, peer)

    def _hand_over(self, attempt, peer):
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
        repeatable = refusal.ran is Ran.NOT_RUN or self._request.idempotent
        if repeatable or refusal.cause is Cause.IN_PROGRESS:
            return refusal
        # Coming back could run it twice.
        return type(refusal)(refusal.cause, refusal.ran, refusal.message)

    def _close_attempt(self, exclude=True):
        super()._close_attempt(exclude)
        self._cancel_wait()

    def _set_wait(self, delay, function):
        self._cancel_wait()
        self._wait_timer = self._context.clock.call_later(delay, function)

    def _cancel_wait(self):
        if self._wait_timer is not None:
            self._wait_timer.cancel()
            self._wait_timer = None

    def _stop_timers(self):
        super()._stop_timers()
        self._cancel_wait()
