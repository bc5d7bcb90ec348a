"""The exchange of one completions request, from admission to the last token."""

from datetime import timedelta

from balsamspoke_routing import GenerationRequest
from balsamspoke_types.outcomes import Cause, Ran, Refusal

from .events import RequestEnded, TokensGap
from .exchange import BudgetedExchange

# Credit is returned in batches, so that not every token costs a message.
CREDIT_BATCH_TOKENS = 64

# Only one gap in this many is observed: that is enough for a histogram, and each
# observation costs time.
TOKENS_PER_OBSERVED_GAP = 8


class GenerationExchange(BudgetedExchange):
    """Reserve tokens, run the generation, write its answer, settle the tokens used.

    Parameters
    ----------
    context : EntryContext
        State shared by all exchanges of the entry process.
    request_id : str
        Id of the caller's request.
    principal : Principal
        Team and key of the request; empty without a key.
    target : Target
        Model and adapter to run on.
    completion : CompletionRequest
        Parameters of the request.
    writer : AnswerWriter
        Formats the answer and sends it to the caller.
    """

    def __init__(self, context, request_id, principal, target, completion, writer):
        super().__init__(context, request_id, principal)
        self._target = target
        self._completion = completion
        self._writer = writer
        self._max_tokens = _get_token_limit(completion, target.model)
        self._token_count = 0
        self._first_token_at = None
        self._last_token_at = None
        self._longest_gap = None
        self._is_paused = False
        self._pending_credit = 0

    def start(self):
        """Reserve tokens for the prompt and longest answer, then run the request."""
        billed_team = self._principal.team or self._target.owner
        amount = self._completion.prompt_tokens + self._max_tokens
        self._reserve(billed_team, amount)

    def add_tokens(self, text, count):
        """Write tokens to the caller and return credit for them."""
        self._record_token_time()
        self._token_count += count
        self._writer.add_text(text)
        self._pending_credit += count
        if not self._is_paused:
            self._send_credit()

    def finish(self, reason, total_tokens):
        """Write the end of a complete answer."""
        if self._end_once(None):
            self._writer.finish(reason, total_tokens)

    def answer(self, response):
        """Refuse with an internal error: an engine sends no ServiceResponse."""
        self.refuse(_make_internal_refusal())

    def refuse(self, refusal):
        """Write that the answer is missing or incomplete."""
        if self._end_once(refusal):
            self._writer.refuse(refusal)

    def pause(self):
        """Hold back credit until ``resume``, so that the engine stops generating."""
        self._is_paused = True

    def resume(self):
        """Return the credit that was held back."""
        self._is_paused = False
        self._send_credit()

    def _start_run(self):
        principal, target = self._principal, self._target
        request = GenerationRequest(
            request=self._request_id,
            team=principal.team,
            model=target.model.name,
            adapter=target.adapter,
            body=self._completion.body,
            max_tokens=self._max_tokens,
            priority=target.priority,
            weight=self._context.find_weight(principal.team),
            deadline=self._context.settings.first_token_timeout,
            key_record=principal.key_record,
            key_version=principal.key_version,
        )
        return self._context.runner.run_generation(request, self)

    def _send_credit(self):
        if (
            self._pending_credit >= CREDIT_BATCH_TOKENS
            and self._running_request is not None
        ):
            count, self._pending_credit = self._pending_credit, 0
            self._running_request.credit(count)

    def _record_token_time(self):
        now = self._context.clock.monotonic()
        if self._first_token_at is None:
            self._first_token_at = now
        else:
            gap = now - self._last_token_at
            self._longest_gap = max(self._longest_gap or gap, gap)
            if self._token_count % TOKENS_PER_OBSERVED_GAP == 0:
                self._context.observe(TokensGap(self._principal.team, gap))
        self._last_token_at = now

    def _count_used_tokens(self):
        return self._completion.prompt_tokens + self._token_count

    def _describe_end(self, refusal):
        now = self._context.clock.monotonic()
        first_token_at = self._first_token_at
        return RequestEnded(
            request=self._request_id,
            team=self._principal.team,
            target=str(self._target.adapter or self._target.model.name),
            priority=self._target.priority,
            refusal=refusal,
            duration=now - self._arrived_at,
            first_token=None
            if first_token_at is None
            else first_token_at - self._arrived_at,
            tokens=self._token_count,
            longest_gap=self._longest_gap,
        )


def _make_internal_refusal():
    return Refusal(
        Cause.INTERNAL, Ran.UNKNOWN, "unexpected answer", timedelta(seconds=1)
    )


def _get_token_limit(completion, model):
    wanted = completion.max_tokens or model.default_max_tokens
    return min(wanted, model.max_tokens)
