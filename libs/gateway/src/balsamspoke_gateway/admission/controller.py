"""Admission control for prompts at the side process of a replica."""

from datetime import timedelta

from ..exceptions import NO_DELAY
from ..observing import PrefillRateLimitChanged
from .late_events import LateEventMonitor
from .messages import AdmissionReply, AdmissionStatus
from .prefill_rate_limit import PrefillRateLimit
from .prefill_speed import PrefillSpeed
from .queue import AdmissionQueue, QueuedPrompt


class AdmissionController:
    """Reply to the admission requests of entry processes for one replica.

    Prompts are queued only while late events show that the replica's prefill rate has
    to be limited.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time and of timers.
    peers : PeerSender
        Sends the replies.
    observer : Observer
        Receives PrefillRateLimitChanged.
    """

    def __init__(self, clock, peers, observer):
        self._clock = clock
        self._peers = peers
        self._observer = observer
        self._late_events = LateEventMonitor()
        self._speed = PrefillSpeed()
        self._queue = AdmissionQueue()
        self._reported_interval = None
        self._timer = None

    @property
    def queued_tokens(self):
        """Tokens of all queued prompts."""
        return self._queue.tokens

    @property
    def time_per_token(self):
        """Time (timedelta) that the replica takes to read a prompt token."""
        return timedelta(seconds=self._speed.seconds_per_token)

    @property
    def is_required(self):
        """Whether entry processes are to request admission of their prompts."""
        return self._find_rate_limit() is not None

    def record_late_events(self, count, limit):
        """Record late events of the replica's streams and the limit they exceeded."""
        self._late_events.record_late_events(count, limit, self._clock.monotonic())

    def receive_request(self, ip, request):
        """Process an AdmissionRequest of the entry process at an IP address."""
        now = self._clock.monotonic()
        prompt = QueuedPrompt(
            ip,
            request.number,
            request.tokens,
            request.priority,
            now + timedelta(seconds=request.time_to_objective),
            now + timedelta(seconds=request.max_wait),
        )
        if self._queue.is_admitted(prompt.key):
            self._reply(prompt, AdmissionStatus.ADMITTED)
            return
        self._queue.add(prompt)
        self._advance()
        wait = self._queue.predict_wait(prompt.key, self._find_rate_limit(), now)
        if wait is None:
            # The prompt was admitted or rejected at once, and replied to.
            return
        if now + wait > prompt.expires:
            self._queue.remove(prompt.key)
            self._reply(prompt, AdmissionStatus.REJECTED, wait)
        else:
            self._reply(prompt, AdmissionStatus.QUEUED, wait)

    def receive_cancellation(self, ip, cancellation):
        """Process an AdmissionCancellation of the entry process at an IP address."""
        key = (ip, cancellation.number)
        self._queue.remove(key)
        if not cancellation.is_sent:
            self._queue.release(key)
            self._speed.forget(key)
        self._advance()

    def receive_prefill_end(self, ip, message):
        """Process a PrefillEnded of the entry process at an IP address."""
        self._speed.record_ended((ip, message.number), self._clock.monotonic())

    def _find_rate_limit(self):
        """Return the PrefillRateLimit in force, or None."""
        interval = self._late_events.find_limit(self._clock.monotonic())
        if interval != self._reported_interval:
            self._reported_interval = interval
            late_events = self._late_events.recent_late_events
            self._observer.observe(PrefillRateLimitChanged(interval, late_events))
        if interval is None:
            return None
        return PrefillRateLimit.compute(interval, self._speed.seconds_per_token)

    def _advance(self):
        rate_limit, now = self._find_rate_limit(), self._clock.monotonic()
        step = self._queue.advance(rate_limit, now)
        for prompt in step.admitted:
            self._speed.record_sent(prompt.key, prompt.tokens, now)
            self._reply(prompt, AdmissionStatus.ADMITTED)
        for prompt in step.rejected:
            self._reply(prompt, AdmissionStatus.REJECTED)
        self._set_timer(self._queue.find_next_time(rate_limit, now), now)

    def _set_timer(self, next_time, now):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if next_time is not None:
            self._timer = self._clock.call_later(next_time - now, self._handle_timer)

    def _handle_timer(self):
        self._timer = None
        self._advance()

    def _reply(self, prompt, status, wait=NO_DELAY):
        reply = AdmissionReply(prompt.number, status, wait.total_seconds())
        self._peers.send(prompt.entry, reply)
