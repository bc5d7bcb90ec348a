"""Admission of prompts at the side process of a replica."""

from datetime import timedelta

from .messages import PromptAnswer, PromptDecision
from .prompt_schedule import PendingPrompt, PromptSchedule


class PromptAdmission:
    """Answer the offers of entry processes by the schedule of one replica.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time and of timers.
    peers : PeerSender
        Sends the answers.
    find_pace : callable
        Returns the ReadingPace, or None while prompts need not wait.
    """

    def __init__(self, clock, peers, find_pace):
        self._clock = clock
        self._peers = peers
        self._find_pace = find_pace
        self._schedule = PromptSchedule()
        self._timer = None

    @property
    def pending_tokens(self):
        """Tokens of all prompts that wait."""
        return self._schedule.pending_tokens

    @property
    def is_needed(self):
        """Whether entry processes are to offer their prompts."""
        return self._find_pace() is not None

    def receive_offer(self, ip, offer):
        """Process a PromptOffer of the entry process at an IP address."""
        now = self._clock.monotonic()
        prompt = PendingPrompt(
            ip,
            offer.number,
            offer.tokens,
            offer.priority,
            now + timedelta(seconds=offer.time_to_objective),
            now + timedelta(seconds=offer.patience),
        )
        if self._schedule.has_started(prompt.key):
            self._answer(prompt, PromptDecision.START)
            return
        self._schedule.add(prompt)
        self._advance()
        wait = self._schedule.predict_wait(prompt.key, self._find_pace(), now)
        if wait is None:
            return
        if now + wait > prompt.expires:
            self._schedule.withdraw(prompt.key)
            self._answer(prompt, PromptDecision.REFUSE, wait)
        else:
            self._answer(prompt, PromptDecision.WAIT, wait)

    def receive_withdrawal(self, ip, withdrawal):
        """Process a PromptWithdrawal of the entry process at an IP address."""
        self._schedule.withdraw((ip, withdrawal.number))

    def _advance(self):
        pace, now = self._find_pace(), self._clock.monotonic()
        step = self._schedule.advance(pace, now)
        for prompt in step.started:
            self._answer(prompt, PromptDecision.START)
        for prompt in step.refused:
            self._answer(prompt, PromptDecision.REFUSE)
        self._set_timer(self._schedule.find_next_time(pace, now), now)

    def _set_timer(self, next_time, now):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if next_time is not None:
            self._timer = self._clock.call_later(next_time - now, self._handle_timer)

    def _handle_timer(self):
        self._timer = None
        self._advance()

    def _answer(self, prompt, decision, wait=timedelta(0)):
        answer = PromptAnswer(prompt.number, decision, wait.total_seconds())
        self._peers.send(prompt.entry, answer)
