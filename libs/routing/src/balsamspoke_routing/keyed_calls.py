"""Calls that aren't idempotent but have an idempotency key."""

from balsamspoke_types.outcomes import Cause, Ran, Refusal

from .calls import CallRun
from .claims import AnswerSaved, Granted, KeyReused, OutcomeUnknown, Pending
from .exceptions import RecordUnavailable
from .records import RecordState


class KeyedCallRun(CallRun):
    """Run one call, claiming its idempotency record before each attempt is sent.

    The run continues after the caller was refused or has disconnected, until the
    outcome of the attempt is recorded, so that a repeat can be answered with it.

    Parameters
    ----------
    request : CallRequest
        The request to run.
    sink : AnswerSink
        Receiver of the answer.
    context : RequestContext
        Services shared by the running requests, with a ledger.
    """

    def __init__(self, request, sink, context):
        super().__init__(request, sink, context)
        self._claimed_record = None
        self._is_claiming = False
        self._is_saving = False
        self._has_requested_fence = False

    def cancel(self):
        """Cancel the request; the attempt's outcome is still awaited and recorded."""
        if not self._has_ended:
            self._refuse(Cause.CANCELLED, may_run=self._attempt is not None)

    def handle_connection_lost(self, attempt):
        """Wait for the connection if the request hasn't ended."""
        if not self._has_ended:
            super().handle_connection_lost(attempt)

    def handle_connection_restored(self, attempt):
        """Fence the attempt, also after the end of the request."""
        if not self._has_ended:
            super().handle_connection_restored(attempt)
        elif attempt == self._attempt:
            self._send_fence()

    def _prepare_attempt(self, attempt, peer):
        self._is_claiming = True
        self._start_wait_timer(self._settings.claim_timeout, self._handle_claim_timeout)
        ledger = self._context.ledger
        if self._claimed_record is None:
            claim = ledger.claim(self._request, attempt, peer)
        else:
            claim = ledger.renew(self._claimed_record, attempt, peer)
        claim.addCallbacks(self._handle_claim, self._handle_claim_failure)

    def _handle_claim(self, claim):
        self._is_claiming = False
        self._cancel_wait_timer()
        if isinstance(claim, Granted):
            self._claimed_record = claim.stored_record
            self._handle_grant(claim.stored_record.record)
            return
        self._claimed_record = None
        if self._has_ended:
            self._finish_record()
        elif isinstance(claim, Pending):
            self._handle_pending(claim.stored_record)
        else:
            self._report_outcome(claim)

    def _handle_claim_failure(self, failure):
        # Whatever the failure, no attempt is handed over without a grant.
        self._is_claiming = False
        is_expected = failure.check(RecordUnavailable)
        self._refuse(Cause.RECORD_UNAVAILABLE if is_expected else Cause.INTERNAL)
        self._finish_record()

    def _handle_claim_timeout(self):
        self._refuse(Cause.RECORD_UNAVAILABLE)

    def _handle_grant(self, record):
        if self._has_ended:
            self._finish_record()
        elif self._is_past_deadline():
            self._refuse(Cause.DEADLINE)
        elif not self._is_key_valid():
            self._refuse(Cause.KEY_REJECTED)
        elif self._context.table.is_connected(record.replica):
            self._send_attempt(record.attempt, record.replica)
        else:
            self._excluded.add(record.replica)
            self._history.record_start()
            self._try_next()

    def _handle_answer(self, response):
        stored_record, self._claimed_record = self._claimed_record, None
        self._track_save(self._context.ledger.save_answer(stored_record, response))
        super()._handle_answer(response)

    def _handle_not_run(self, cause):
        super()._handle_not_run(cause)
        if self._has_ended:
            self._finish_record()

    def _handle_unknown(self, cause):
        stored_record, self._claimed_record = self._claimed_record, None
        self._track_save(self._context.ledger.save_unknown(stored_record))
        super()._handle_unknown(cause)

    def _handle_fence(self, handed_over):
        if not handed_over:
            super()._handle_fence(handed_over)
        elif self._is_past_deadline():
            self._refuse(Cause.DEADLINE, may_run=True)

    def _handle_reconnect_timeout(self):
        self._refuse(Cause.BACKEND_LOST, may_run=True)

    def _handle_fence_timeout(self):
        self._refuse(Cause.DEADLINE, may_run=True)

    def _handle_end_of_request(self):
        self._finish_record()

    def _finish_record(self):
        """Record the outcome after the end of the request.

        Waits for the answer of an open attempt, releases a claimed record without
        one, and reports that the run is done when nothing is left to record.
        """
        if self._attempt is not None:
            self._start_wait_timer(
                self._settings.late_answer_timeout, self._handle_late_answer_timeout
            )
        elif self._claimed_record is not None and not self._is_claiming:
            # No attempt is open and no outcome is unknown, so none ever runs.
            stored_record, self._claimed_record = self._claimed_record, None
            self._track_save(self._context.ledger.release(stored_record))
        elif not self._is_claiming and not self._is_saving:
            self._context.on_done(self)

    def _handle_late_answer_timeout(self):
        self._handle_unknown(Cause.BACKEND_LOST)

    def _track_save(self, save):
        self._is_saving = True
        save.addBoth(self._handle_save_end)

    def _handle_save_end(self, _):
        self._is_saving = False
        if self._has_ended:
            self._finish_record()

    def _report_outcome(self, claim):
        if isinstance(claim, AnswerSaved) and claim.response is not None:
            self._end(self._sink.answer, claim.response)
        elif isinstance(claim, AnswerSaved):
            message = "the request ran; its answer was too long to keep"
            refusal = Refusal(Cause.BACKEND_LOST, Ran.RAN, message)
            self._end(self._sink.refuse, refusal)
        elif isinstance(claim, OutcomeUnknown):
            self._refuse(Cause.BACKEND_LOST, may_run=True)
        elif isinstance(claim, KeyReused):
            self._refuse(Cause.KEY_REUSED)

    def _handle_pending(self, stored_record):
        """Take over a released record; else fence its attempt or refuse the repeat."""
        if stored_record.record.state is RecordState.NOT_RUN:
            self._take_over_record(stored_record)
        elif self._can_fence(stored_record):
            self._has_requested_fence = True
            record = stored_record.record
            answer = self._context.fences.request_fence(record.replica, record.attempt)
            answer.addCallback(self._handle_fence_answer, stored_record)
        else:
            self._refuse_in_progress(stored_record)

    def _can_fence(self, stored_record):
        table, ledger = self._context.table, self._context.ledger
        return (
            not self._has_requested_fence
            and not table.is_open(stored_record.record.attempt)
            and table.is_connected(stored_record.record.replica)
            and ledger.get_age(stored_record) >= ledger.settings.minimum_fence_age
        )

    def _handle_fence_answer(self, handed_over, stored_record):
        if self._has_ended:
            self._finish_record()
        elif handed_over is False:
            self._take_over_record(stored_record)
        else:
            self._refuse_in_progress(stored_record)

    def _take_over_record(self, stored_record):
        self._claimed_record = stored_record
        self._try_next()

    def _refuse_in_progress(self, stored_record):
        ledger = self._context.ledger
        if ledger.get_age(stored_record) < ledger.settings.maximum_progress_age:
            self._refuse(Cause.IN_PROGRESS, may_run=True)
        else:
            self._refuse(Cause.BACKEND_LOST, may_run=True)
