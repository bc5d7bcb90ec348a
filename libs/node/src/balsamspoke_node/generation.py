"""One request to generate, from its admission to its last token."""

from datetime import timedelta

from balsamspoke_routing import GenerationRequest
from balsamspoke_types.outcomes import Cause, Ran, Refusal

from .events import RequestEnded, TokensGap
from .exchange import BudgetedExchange

# Credit goes back in steps, so that not every token costs a message.
CREDIT_STEP_TOKENS = 64

# One gap in so many is observed: a histogram needs no more, and each costs time.
OBSERVED_GAP_STEP = 8


class GenerationExchange(BudgetedExchange):
    """Reserve the tokens, run the request, write the answer, settle the rest.

    Parameters
    ----------
    context : EntryContext
        What all exchanges of an entry process share.
    request_id : str
        Id of the caller's request.
    principal : Principal
        Whose request it is.
    target : Target
        What it runs on.
    completion : CompletionRequest
        What was asked for.
    writer : AnswerWriter
        Where the answer goes.
    """

    def __init__(self, context, request_id, principal, target, completion, writer):
        super().__init__(context, request_id, principal)
        self._target = target
        self._completion = completion
        self._writer = writer
        self._max_tokens = _limit_tokens(completion, target.model)
        self._tokens = 0
        self._first_token = None
        self._last_token = None
        self._longest_gap = None
        self._paused = False
        self._uncredited = 0

    def start(self):
        """Reserve the tokens and go on from there."""
        payer = self._principal.team or self._target.owner
        amount = self._completion.prompt_tokens + self._max_tokens
        self._reserve(payer, amount)

    def add_tokens(self, text, count):
        """Write tokens on to the caller."""
        self._note_token_time()
        self._tokens += count
        self._writer.add_text(text)
        self._uncredited += count
        if not self._paused:
            self._give_credit()

    def finish(self, reason, total_tokens):
        """Write the end of the whole answer."""
        if self._end(None):
            self._writer.finish(reason, total_tokens)

    def answer(self, response):
        """Refuse what no engine sends."""
        self.refuse(_make_internal_refusal())

    def refuse(self, refusal):
        """Write that there is no whole answer."""
        if self._end(refusal):
            self._writer.refuse(refusal)

    def pause(self):
        """Give no more credit until the caller has caught up."""
        self._paused = True

    def resume(self):
        """Give the credit that was held back."""
        self._paused = False
        self._give_credit()

    def _begin_run(self):
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

    def _give_credit(self):
        if self._uncredited >= CREDIT_STEP_TOKENS and self._running is not None:
            count, self._uncredited = self._uncredited, 0
            self._running.credit(count)

    def _note_token_time(self):
        now = self._context.clock.monotonic()
        if self._first_token is None:
            self._first_token = now
        else:
            gap = now - self._last_token
            self._longest_gap = max(self._longest_gap or gap, gap)
            if self._tokens % OBSERVED_GAP_STEP == 0:
                self._context.observe(TokensGap(self._principal.team, gap))
        self._last_token = now

    def _count_used(self):
        return self._completion.prompt_tokens + self._tokens

    def _describe_end(self, refusal):
        now = self._context.clock.monotonic()
        first = self._first_token
        return RequestEnded(
            request=self._request_id,
            team=self._principal.team,
            target=str(self._target.adapter or self._target.model.name),
            priority=self._target.priority,
            refusal=refusal,
            duration=now - self._arrived,
            first_token=None if first is None else first - self._arrived,
            tokens=self._tokens,
            longest_gap=self._longest_gap,
        )


def _make_internal_refusal():
    return Refusal(
        Cause.INTERNAL, Ran.UNKNOWN, "unexpected answer", timedelta(seconds=1)
    )


def _limit_tokens(completion, model):
    wanted = completion.max_tokens or model.default_max_tokens
    return min(wanted, model.max_tokens)
