"""Run a call that may not be repeated, under its caller's idempotency key."""

from balsamspoke_types.outcomes import Cause, Ran, Refusal

from .calls import CallRun
from .claims import AnswerSaved, Granted, KeyReused, OutcomeUnknown, Pending
from .exceptions import RecordUnavailable
from .records import RecordState


class KeyedCallRun(CallRun):
    """One call whose record is claimed before each attempt is handed over.

    It goes on when its caller is gone or was refused, until the record says what
    became of the attempt, so that a repeat learns it.
    """

    def __init__(self, request, sink, context):
        super().__init__(request, sink, context)
        self._held = None
        self._claiming = False
        self._saving = False
        self._was_fenced = False

    def cancel(self):
        """Give the answer up; the outcome is still waited for and kept."""
        if not self._ended:
            self._refuse(Cause.CANCELLED, may_run=self._attempt is not None)

    def lose_connection(self, attempt):
        """Wait for the connection while the caller does."""
        if not self._ended:
            super().lose_connection(attempt)

    def regain_connection(self, attempt):
        """Ask whether the attempt got through."""
        if not self._ended:
            super().regain_connection(attempt)
        elif attempt == self._attempt:
            self._ask_fence()

    def _prepare(self, attempt, peer):
        self._claiming = True
        self._set_wait(self._settings.claim_wait, self._give_up_claim)
        ledger = self._context.ledger
        if self._held is None:
            claim = ledger.claim(self._request, attempt, peer)
        else:
            claim = ledger.renew(self._held, attempt, peer)
        claim.addCallbacks(self._take_claim, self._fail_claim)

    def _take_claim(self, claim):
        self._claiming = False
        self._cancel_wait()
        if isinstance(claim, Granted):
            self._held = claim.held
            self._take_grant(claim.held.record)
            return
        self._held = None
        if self._ended:
            self._settle()
        elif isinstance(claim, Pending):
            self._take_pending(claim.held)
        else:
            self._tell_outcome(claim)

    def _fail_claim(self, failure):
        # Whatever went wrong: without a grant nothing is handed over.
        self._claiming = False
        is_expected = failure.check(RecordUnavailable)
        self._refuse(Cause.RECORD_UNAVAILABLE if is_expected else Cause.INTERNAL)
        self._settle()

    def _give_up_claim(self):
        self._refuse(Cause.RECORD_UNAVAILABLE)

    def _take_grant(self, record):
        if self._ended:
            self._settle()
        elif self._is_late():
            self._refuse(Cause.DEADLINE)
        elif not self._is_key_valid():
            self._refuse(Cause.KEY_REJECTED)
        elif self._context.table.is_connected(record.replica):
            self._hand_over(record.attempt, record.replica)
        else:
            self._excluded.add(record.replica)
            self._history.note_begun()
            self._try_next()

    def _take_answer(self, response):
        held, self._held = self._held, None
        self._keep(self._context.ledger.save_answer(held, response))
        super()._take_answer(response)

    def _take_not_run(self, cause):
        super()._take_not_run(cause)
        if self._ended:
            self._settle()

    def _take_unknown(self, cause):
        held, self._held = self._held, None
        self._keep(self._context.ledger.save_unknown(held))
        super()._take_unknown(cause)

    def _take_fence(self, handed_over):
        if not handed_over:
            super()._take_fence(handed_over)
        elif self._is_late():
            self._refuse(Cause.DEADLINE, may_run=True)

    def _give_up_connection(self):
        self._refuse(Cause.BACKEND_LOST, may_run=True)

    def _give_up_fence(self):
        self._refuse(Cause.DEADLINE, may_run=True)

    def _after_end(self):
        self._settle()

    def _settle(self):
        """See to the record once the caller was told the end."""
        if self._attempt is not None:
            self._set_wait(self._settings.late_answer_time, self._give_up_late_answer)
        elif self._held is not None and not self._claiming:
            # No attempt is open and none is unknown: all are known never to run.
            held, self._held = self._held, None
            self._keep(self._context.ledger.release(held))
        elif not self._claiming and not self._saving:
            self._context.note_done(self)

    def _give_up_late_answer(self):
        self._take_unknown(Cause.BACKEND_LOST)

    def _keep(self, saved):
        self._saving = True
        saved.addBoth(self._note_kept)

    def _note_kept(self, _):
        self._saving = False
        if self._ended:
            self._settle()

    def _tell_outcome(self, claim):
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

    def _take_pending(self, held):
        """Answer a repeat while another attempt may run, or fence that attempt."""
        if held.record.state is RecordState.NOT_RUN:
            self._take_over(held)
        elif self._may_fence(held):
            self._was_fenced = True
            record = held.record
            answer = self._context.fences.ask(record.replica, record.attempt)
            answer.addCallback(self._take_fence_answer, held)
        else:
            self._refuse_in_progress(held)

    def _may_fence(self, held):
        table, ledger = self._context.table, self._context.ledger
        return (
            not self._was_fenced
            and not table.is_open(held.record.attempt)
            and table.is_connected(held.record.replica)
            and ledger.get_age(held) >= ledger.settings.fence_after
        )

    def _take_fence_answer(self, handed_over, held):
        if self._ended:
            self._settle()
        elif handed_over is False:
            self._take_over(held)
        else:
            self._refuse_in_progress(held)

    def _take_over(self, held):
        self._held = held
        self._try_next()

    def _refuse_in_progress(self, held):
        ledger = self._context.ledger
        if ledger.get_age(held) < ledger.settings.progress_time:
            self._refuse(Cause.IN_PROGRESS, may_run=True)
        else:
            self._refuse(Cause.BACKEND_LOST, may_run=True)
