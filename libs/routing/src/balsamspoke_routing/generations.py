"""Run a generation: retried elsewhere, and continued from what was delivered."""

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
from .history import FINAL_CAUSES
from .running import RequestRun
from .watchdog import Watchdog

_CREDIT_PARTS = 4
_LENGTH_REASON = "length"
NO_TIME = timedelta(0)


class GenerationRun(RequestRun):
    """One generation and its attempts, one after another."""

    def __init__(self, request, sink, context):
        super().__init__(request, sink, context)
        self._assembly = AnswerAssembly(self._deliver, self._settings.held_chunks)
        self._stall_watchdog = Watchdog(context.clock, self._notice_stall)
        self._gap_watchdog = Watchdog(context.clock, self._notice_stall)
        # Tokens that the caller has not taken yet, and those it took since the
        # side process was last credited.
        self._untaken = 0
        self._uncredited = 0
        self._credit_left = 0
        self._has_failed = False
        self._interrupted_at = None
        self._waits = 0

    def start(self):
        """Send the first attempt, or refuse."""
        self._try_next()

    def cancel(self):
        """Give the answer up."""
        if self._ended:
            return
        may_run = self._attempt is not None
        self._abandon_attempt()
        self._refuse(Cause.CANCELLED, may_run)

    def credit(self, count):
        """Let the side process send as many more tokens as the caller took."""
        count = min(count, self._untaken)
        self._untaken -= count
        self._uncredited += count
        batch = max(1, self._settings.credit_tokens // _CREDIT_PARTS)
        if self._attempt is None or self._uncredited < batch:
            return
        message = CreditTokens(self._attempt, self._uncredited)
        self._credit_left += self._uncredited
        self._uncredited = 0
        self._stall_watchdog.touch()
        self._context.table.send(self._attempt, message)

    def lose_connection(self, attempt):
        """Continue elsewhere: what was sent may arrive there, or have run."""
        if attempt == self._attempt:
            self._give_up_attempt(Cause.BACKEND_LOST)

    def regain_connection(self, attempt):
        """Do nothing: the attempt was given up with the connection."""

    def notice_silence(self, attempt):
        """Continue elsewhere at once, if another replica can."""
        request = self._request
        if (
            attempt == self._attempt
            and not self._waits_for_caller()
            and self._has_other_replica(request.model, request.adapter)
        ):
            self._give_up_attempt(Cause.BACKEND_LOST)

    def _take_refusal(self, message):
        self._history.note_refused(message)
        if self._assembly.offset:
            # An answer under way is given up by time, not by the number of refusals.
            self._history.uncount_attempt()
        self._close_attempt()
        if message.cause in FINAL_CAUSES:
            self._refuse()
        else:
            self._try_next()

    def _take_other_message(self, message):
        if isinstance(message, TokenChunk):
            self._take_chunk(message)
        elif isinstance(message, GenerationFinished):
            self._take_end(message)
        elif isinstance(message, AttemptFailed):
            self._take_failure(message)

    def _take_chunk(self, chunk):
        self._stall_watchdog.touch()
        if self._assembly.add(chunk):
            self._check_progress()

    def _take_end(self, message):
        self._stall_watchdog.touch()
        if self._assembly.end(message.offset, message.reason):
            self._check_progress()
        else:
            # It counts fewer tokens than it sent.
            self._give_up_attempt(Cause.BACKEND_FAILED)

    def _take_failure(self, message):
        self._history.note_unknown(message.cause)
        self._note_failed_attempt()
        if message.cause in FINAL_CAUSES:
            self._refuse()
        else:
            self._try_next()

    def _check_progress(self):
        if self._ended:
            return
        if self._assembly.is_whole:
            self._finish(self._assembly.finish_reason)
        elif not self._assembly.has_gap:
            self._gap_watchdog.stop()
        elif not self._gap_watchdog.is_running:
            self._gap_watchdog.start(self._settings.gap_time)

    def _deliver(self, text, count):
        if self._ended:
            return
        if self._history.without_progress:
            self._history.note_progress()
            self._has_failed = False
            self._interrupted_at = None
            self._waits = 0
        if self._assembly.offset == count:
            self._begin_stream()
        self._untaken += count
        self._credit_left -= count
        self._sink.add_tokens(text, count)

    def _begin_stream(self):
        self._deadline_timer.cancel()
        self._stall_watchdog.start(self._settings.stall_time)

    def _finish(self, reason):
        self._close_attempt()
        self._end(self._sink.finish, reason, self._assembly.offset)

    def _notice_stall(self):
        if self._attempt is None or self._ended:
            return
        if self._waits_for_caller():
            self._stall_watchdog.start(self._settings.stall_time)
        elif self._assembly.offset or self._assembly.has_gap:
            self._give_up_attempt(Cause.BACKEND_LOST)
        else:
            self._doubt_attempt()

    def _waits_for_caller(self):
        has_stopped = self._credit_left <= 0 and not self._assembly.has_gap
        return bool(self._assembly.offset) and has_stopped

    def _doubt_attempt(self):
        """Ask what became of an attempt without a token, unless it surely queues."""
        left = self._get_time_to_ask()
        if left > NO_TIME and self._context.directory.is_queueing(self._peer):
            self._stall_watchdog.start(left)
            return
        asked = self._context.fences.ask(self._peer, self._attempt)
        asked.addCallback(self._take_fence_answer, self._attempt)

    def _take_fence_answer(self, handed_over, attempt):
        if attempt != self._attempt or self._assembly.offset:
            return
        if handed_over is not False:
            self._give_up_attempt(Cause.BACKEND_LOST)
            return
        self._history.note_not_run(Cause.OVERLOADED)
        self._close_attempt()
        if self._get_time_to_ask() > NO_TIME:
            self._try_next()
        else:
            self._refuse()

    def _get_time_to_ask(self):
        """Return the time left in which a question can still be answered."""
        answer_time = self._settings.fence_wait + 2 * self._settings.deadline_margin
        return self._get_time_left() - answer_time

    def _give_up_attempt(self, cause):
        self._history.note_unknown(cause)
        self._note_failed_attempt()
        self._try_next()

    def _note_failed_attempt(self):
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
        if self._ended or self._attempt is not None:
            return
        if self._assembly.offset >= self._request.max_tokens:
            # Only the end itself is missing.
            self._finish(_LENGTH_REASON)
        elif not self._is_key_valid():
            self._refuse(Cause.KEY_REJECTED)
        elif self._is_exhausted():
            self._refuse()
        else:
            self._try_replica()

    def _try_replica(self):
        peer = self._choose(self._request.model, self._request.adapter)
        if peer is not None:
            self._send_attempt(peer)
        elif self._may_wait():
            self._wait_for_replica()
        else:
            self._refuse()

    def _may_wait(self):
        # A replica that was lost may be back at once, and an answer under way is
        # worth a wait; a replica that refuses says itself when to come back.
        if not self._assembly.offset:
            return self._has_failed and self._waits < self._settings.maximum_waits
        now = self._context.clock.monotonic()
        if self._interrupted_at is None:
            self._interrupted_at = now
        return now - self._interrupted_at < self._settings.continuation_time

    def _wait_for_replica(self):
        self._waits += 1
        self._excluded.clear()
        delay = self._draw_delay() * self._waits
        self._retry_timer = self._context.clock.call_later(delay, self._try_next)

    def _send_attempt(self, peer):
        attempt = self._context.table.draw_id()
        self._open_attempt(attempt, peer)
        self._assembly.begin_attempt()
        self._credit_left = max(0, self._settings.credit_tokens - self._untaken)
        self._uncredited = 0
        self._stall_watchdog.start(self._get_silence_limit())
        self._context.table.send(attempt, self._make_message(attempt))

    def _get_silence_limit(self):
        if self._assembly.offset:
            return self._settings.stall_time
        return self._get_time_left() * self._settings.silent_part

    def _make_message(self, attempt):
        request = self._request
        left = self._get_time_left() - self._settings.deadline_margin
        if self._assembly.offset:
            left = self._settings.stall_time
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
            deadline=max(left, self._settings.deadline_margin),
            credit=self._credit_left,
            key_record=request.key_record,
            key_version=request.key_version,
        )

    def _make_refusal(self, cause, may_run):
        # Whatever a side process says: tokens were delivered, so something ran.
        return super()._make_refusal(cause, may_run or self._assembly.offset > 0)

    def _pass_deadline(self):
        may_run = self._attempt is not None
        self._abandon_attempt()
        self._refuse(Cause.DEADLINE, may_run)

    def _stop_timers(self):
        super()._stop_timers()
        self._stall_watchdog.stop()
        self._gap_watchdog.stop()
