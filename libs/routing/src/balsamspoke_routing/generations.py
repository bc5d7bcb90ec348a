"""Generations, which are retried and continued on other replicas."""

from datetime import timedelta

from balsamspoke_types.messages import (
    AttemptFailed,
    CreditTokens,
    GenerationFinished,
    RunGeneration,
    TokenChunk,
)
from balsamspoke_types.outcomes import Cause

from .assembly import AnswerAssembly
from .history import NON_RETRYABLE_CAUSES
from .request_runs import RequestRun
from .watchdog import Watchdog

_CREDIT_BATCHES_PER_WINDOW = 4
_LENGTH_REASON = "length"
_NO_TIME_LEFT = timedelta(0)


class GenerationRun(RequestRun):
    """Run one generation by consecutive attempts.

    After tokens were delivered, the next attempt continues from their offset.

    Parameters
    ----------
    request : GenerationRequest
        The request to run.
    sink : AnswerSink
        Receiver of the answer.
    context : RequestContext
        Services shared by the running requests.
    """

    def __init__(self, request, sink, context):
        super().__init__(request, sink, context)
        self._assembly = AnswerAssembly(
            self._deliver, self._settings.maximum_buffered_chunks
        )
        self._stall_watchdog = Watchdog(context.clock, self._handle_stall)
        self._gap_watchdog = Watchdog(context.clock, self._handle_stall)
        # Tokens delivered to the sink but not consumed by the caller, and tokens
        # consumed since the last credit was sent to the side process.
        self._unconsumed_tokens = 0
        self._uncredited_tokens = 0
        self._remaining_credit = 0
        self._has_failed = False
        self._interrupted_at = None
        self._retry_waits = 0

    def start(self):
        """Start the first attempt, or refuse the request."""
        self._try_next()

    def cancel(self):
        """Cancel the request and its open attempt."""
        if self._has_ended:
            return
        may_run = self._attempt is not None
        self._abandon_attempt()
        self._refuse(Cause.CANCELLED, may_run)

    def credit(self, count):
        """Credit the side process with the tokens that the caller has consumed.

        Credit is sent in batches of a quarter of the credit window.
        """
        count = min(count, self._unconsumed_tokens)
        self._unconsumed_tokens -= count
        self._uncredited_tokens += count
        batch_tokens = max(
            1, self._settings.credit_tokens // _CREDIT_BATCHES_PER_WINDOW
        )
        if self._attempt is None or self._uncredited_tokens < batch_tokens:
            return
        message = CreditTokens(self._attempt, self._uncredited_tokens)
        self._remaining_credit += self._uncredited_tokens
        self._uncredited_tokens = 0
        self._stall_watchdog.reset()
        self._context.table.send(self._attempt, message)

    def handle_connection_lost(self, attempt):
        """Continue on another replica; the attempt counts as one that may have run.

        Messages about its answer may be lost with the connection.
        """
        if attempt == self._attempt:
            self._fail_attempt(Cause.BACKEND_LOST)

    def handle_connection_restored(self, attempt):
        """Do nothing, as the attempt was closed when the connection was lost."""

    def handle_silence(self, attempt):
        """Continue on another replica at once if one is usable.

        A stream that has no credit left, since its caller is slow, isn't moved.
        """
        request = self._request
        if (
            attempt == self._attempt
            and not self._is_waiting_for_caller()
            and self._has_other_replica(request.model, request.adapter)
        ):
            self._fail_attempt(Cause.BACKEND_LOST)

    def _handle_refusal(self, message):
        self._history.record_refused(message)
        if self._assembly.offset:
            # A started stream is limited by continuation_timeout, not by the number
            # of refusals.
            self._history.uncount_attempt()
        self._close_attempt()
        if message.cause in NON_RETRYABLE_CAUSES:
            self._refuse()
        else:
            self._try_next()

    def _handle_other_message(self, message):
        if isinstance(message, TokenChunk):
            self._handle_chunk(message)
        elif isinstance(message, GenerationFinished):
            self._handle_end(message)
        elif isinstance(message, AttemptFailed):
            self._handle_failure(message)

    def _handle_chunk(self, chunk):
        self._stall_watchdog.reset()
        if self._assembly.add(chunk):
            self._check_progress()

    def _handle_end(self, message):
        self._stall_watchdog.reset()
        if self._assembly.end(message.offset, message.reason):
            self._check_progress()
        else:
            # The reported end lies before tokens that were already delivered.
            self._fail_attempt(Cause.BACKEND_FAILED)

    def _handle_failure(self, message):
        self._history.record_unknown(message.cause)
        self._close_failed_attempt()
        if message.cause in NON_RETRYABLE_CAUSES:
            self._refuse()
        else:
            self._try_next()

    def _check_progress(self):
        if self._has_ended:
            return
        if self._assembly.is_complete:
            self._finish(self._assembly.finish_reason)
        elif not self._assembly.has_gap:
            self._gap_watchdog.stop()
        elif not self._gap_watchdog.is_running:
            self._gap_watchdog.start(self._settings.gap_timeout)

    def _deliver(self, text, count):
        if self._has_ended:
            return
        if self._history.attempts_without_progress:
            self._history.record_progress()
            self._has_failed = False
            self._interrupted_at = None
            self._retry_waits = 0
        if self._assembly.offset == count:
            self._start_stream()
        self._unconsumed_tokens += count
        self._remaining_credit -= count
        self._sink.add_tokens(text, count)

    def _start_stream(self):
        self._deadline_timer.cancel()
        self._stall_watchdog.start(self._settings.stall_timeout)

    def _finish(self, reason):
        self._close_attempt()
        self._end(self._sink.finish, reason, self._assembly.offset)

    def _handle_stall(self):
        if self._attempt is None or self._has_ended:
            return
        if self._is_waiting_for_caller():
            self._stall_watchdog.start(self._settings.stall_timeout)
        elif self._assembly.offset or self._assembly.has_gap:
            self._fail_attempt(Cause.BACKEND_LOST)
        else:
            self._check_silent_attempt()

    def _is_waiting_for_caller(self):
        has_no_credit = self._remaining_credit <= 0 and not self._assembly.has_gap
        return bool(self._assembly.offset) and has_no_credit

    def _check_silent_attempt(self):
        """Fence an attempt without a token, unless its replica reports a queue.

        Shortly before the deadline the attempt is fenced in any case.
        """
        time_left = self._get_time_before_last_fence()
        if time_left > _NO_TIME_LEFT and self._context.directory.is_queueing(
            self._peer
        ):
            self._stall_watchdog.start(time_left)
            return
        answer = self._context.fences.request_fence(self._peer, self._attempt)
        answer.addCallback(self._handle_fence_answer, self._attempt)

    def _handle_fence_answer(self, handed_over, attempt):
        if attempt != self._attempt or self._assembly.offset:
            return
        if handed_over is not False:
            self._fail_attempt(Cause.BACKEND_LOST)
            return
        self._history.record_not_run(Cause.OVERLOADED)
        self._close_attempt()
        if self._get_time_before_last_fence() > _NO_TIME_LEFT:
            self._try_next()
        else:
            self._refuse()

    def _get_time_before_last_fence(self):
        """Return the time left to send a fence that is answered before the deadline."""
        fence_time = self._settings.fence_timeout + 2 * self._settings.deadline_margin
        return self._get_time_left() - fence_time

    def _fail_attempt(self, cause):
        self._history.record_unknown(cause)
        self._close_failed_attempt()
        self._try_next()

    def _close_failed_attempt(self):
        self._has_failed = True
        self._abandon_attempt()

    def _abandon_attempt(self):
        if self._attempt is not None:
            self._context.table.abandon(self._attempt)
        self._close_attempt()

    def _close_attempt(self, exclude=True):
        super()._close_attempt(exclude)
        self._stall_watchdog.stop()
        self._gap_watchdog.stop()

    def _try_next(self):
        if self._has_ended or self._attempt is not None:
            return
        if self._assembly.offset >= self._request.max_tokens:
            # All tokens were delivered; only the message about the end is missing.
            self._finish(_LENGTH_REASON)
        elif not self._is_key_valid():
            self._refuse(Cause.KEY_REJECTED)
        elif self._is_exhausted():
            self._refuse()
        else:
            self._try_replica()

    def _try_replica(self):
        peer = self._choose_replica(self._request.model, self._request.adapter)
        if peer is not None:
            self._send_attempt(peer)
        elif self._can_wait():
            self._wait_for_replica()
        else:
            self._refuse()

    def _can_wait(self):
        # Before the first token, wait only after a failed attempt: a lost replica may
        # return soon, whereas one that refuses suggests a Retry-After itself. A
        # started stream is worth a wait in either case.
        if not self._assembly.offset:
            return (
                self._has_failed
                and self._retry_waits < self._settings.maximum_retry_waits
            )
        now = self._context.clock.monotonic()
        if self._interrupted_at is None:
            self._interrupted_at = now
        return now - self._interrupted_at < self._settings.continuation_timeout

    def _wait_for_replica(self):
        self._retry_waits += 1
        self._excluded.clear()
        delay = self._choose_retry_delay() * self._retry_waits
        self._retry_timer = self._context.clock.call_later(delay, self._try_next)

    def _send_attempt(self, peer):
        attempt = self._context.table.allocate_id()
        self._open_attempt(attempt, peer)
        self._assembly.begin_attempt()
        self._remaining_credit = max(
            0, self._settings.credit_tokens - self._unconsumed_tokens
        )
        self._uncredited_tokens = 0
        self._stall_watchdog.start(self._get_stall_timeout())
        self._context.table.send(attempt, self._make_message(attempt))

    def _get_stall_timeout(self):
        if self._assembly.offset:
            return self._settings.stall_timeout
        return self._get_time_left() * self._settings.silence_fraction

    def _make_message(self, attempt):
        request = self._request
        time_left = self._get_time_left() - self._settings.deadline_margin
        if self._assembly.offset:
            time_left = self._settings.stall_timeout
        return RunGeneration(
            attempt=attempt,
            request=request.request,
            team=request.team,
            model=request.model,
            adapter=request.adapter,
            body=request.body,
            max_tokens=request.max_tokens,
            resume_offset=self._assembly.offset,
            resume_text=self._assembly.text,
            priority=request.priority,
            weight=request.weight,
            deadline=max(time_left, self._settings.deadline_margin),
            credit=self._remaining_credit,
            key_record=request.key_record,
            key_version=request.key_version,
        )

    def _make_refusal(self, cause, may_run):
        # Tokens were delivered, so a backend server ran the request even if the last
        # side process refused it.
        return super()._make_refusal(cause, may_run or self._assembly.offset > 0)

    def _handle_deadline(self):
        may_run = self._attempt is not None
        self._abandon_attempt()
        self._refuse(Cause.DEADLINE, may_run)

    def _stop_timers(self):
        super()._stop_timers()
        self._stall_watchdog.stop()
        self._gap_watchdog.stop()
