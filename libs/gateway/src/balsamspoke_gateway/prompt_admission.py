"""Admission of prompts at the side process of a replica."""

from datetime import timedelta

from .messages import PromptAnswer, PromptDecision
from .observing import PromptPacingChanged
from .pauses import PauseMonitor
from .prompt_schedule import PendingPrompt, PromptSchedule, ReadingPace
from .reading_speed import ReadingSpeed


class PromptAdmission:
    """Answer the offers of entry processes by the schedule of one replica.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time and of timers.
    peers : PeerSender
        Sends the answers.
    observer : Observer
        Receives PromptPacingChanged.
    """

    def __init__(self, clock, peers, observer):
        self._clock = clock
        self._peers = peers
        self._observer = observer
        self._reported_limit = None
        self._pauses = PauseMonitor()
        self._speed = ReadingSpeed()
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

    def record_pauses(self, count, limit):
        """Record long pauses of the replica's streams and the limit they exceeded."""
        self._pauses.record_pauses(count, limit, self._clock.monotonic())

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

    def receive_read(self, ip, read):
        """Process a PromptRead of the entry process at an IP address."""
        self._speed.record_read((ip, read.number), self._clock.monotonic())

    def _find_pace(self):
        """Return the ReadingPace, or None while prompts need not wait."""
        limit = self._pauses.find_limit(self._clock.monotonic())
        if limit != self._reported_limit:
            self._reported_limit = limit
            changed = PromptPacingChanged(limit, self._pauses.recent_pauses)
            self._observer.observe(changed)
        if limit is None:
            return None
        return ReadingPace.choose(limit, self._speed.seconds_per_token)

    def _advance(self):
        pace, now = self._find_pace(), self._clock.monotonic()
        step = self._schedule.advance(pace, now)
        for prompt in step.started:
            self._speed.record_sent(prompt.key, prompt.tokens, now)
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
