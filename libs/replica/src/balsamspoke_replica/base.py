"""What the replicas of an engine and of a plain service have in common."""

from abc import ABC, abstractmethod
from datetime import timedelta

from balsamspoke_types.messages import (
    AttemptFailed,
    AttemptFenced,
    AttemptRefused,
    CancelAttempt,
    FenceAttempt,
)
from balsamspoke_types.outcomes import Cause
from twisted.internet.defer import Deferred

from .events import RequestRefused
from .exceptions import ReplicaStateError
from .ledger import AttemptLedger, AttemptState
from .outbox import Outbox
from .reporter import Reporter

LEAST_RETRY_AFTER = timedelta(milliseconds=100)
MOST_RETRY_AFTER = timedelta(seconds=60)
DURATION_WEIGHT = 0.1


class Replica(ABC):
    """Intake, ends of attempts, reports and the planned stop of one replica.

    Parameters
    ----------
    process : ProcessId
        This process.
    clock : Clock
        Time.
    send : callable
        Called with a ProcessId and a message.
    is_key_valid : callable
        Called with the name and the checked version of a key's record.
    settings : ReplicaSettings
        Bounds.
    on_event : callable or None
        Called with the events of ``events``.
    """

    def __init__(self, process, clock, send, is_key_valid, settings, on_event):
        self.process = process
        self._clock = clock
        self._is_key_valid = is_key_valid
        self._settings = settings
        self._on_event = on_event or _ignore_event
        self._ledger = AttemptLedger(
            clock, settings.attempt_memory, settings.attempts_remembered
        )
        self._outbox = Outbox(clock, send, settings.collect_time)
        self._reporter = Reporter(clock, settings, self.report, self._outbox.send)
        self._peers = set()
        self._queued = {}
        self._queued_tokens = 0
        self._deadlines = {}
        self._mean_duration = timedelta(seconds=1)
        self._sequence = 0
        self._started = False
        self._stopped = False
        self._draining = None

    def start(self):
        """Begin to work."""
        if self._started:
            raise ReplicaStateError("the replica was started before")
        self._started = True
        self._reporter.start()

    def stop(self):
        """Stop at once; nothing is sent any more."""
        self._stopped = True
        self._reporter.stop()
        self._outbox.stop()
        for timer in self._deadlines.values():
            timer.cancel()
        self._deadlines.clear()

    def peer_connected(self, peer):
        """Note that messages can be sent to a ProcessId."""
        self._peers.add(peer)
        self._reporter.add_peer(peer)

    def peer_disconnected(self, peer):
        """Note that the connection to a ProcessId is lost; drop what it queued."""
        self._peers.discard(peer)
        self._reporter.remove_peer(peer)
        self._outbox.drop(peer)
        for request in [found for found in self._queued.values() if found.peer == peer]:
            self._dequeue(request)
            self._ledger.set(request.order.attempt, AttemptState.REFUSED)

    def drain(self):
        """Stop as planned; return a Deferred of None that fires when nothing runs."""
        if self._draining is None:
            self._draining = []
            for request in list(self._queued.values()):
                self._refuse_queued(request, Cause.STOPPING)
            self._note_accepting()
            self._clock.call_later(self._settings.drain_time, self._end_drain)
        result = Deferred()
        self._draining.append(result)
        self._check_drained()
        return result

    @abstractmethod
    def report(self):
        """Return a new ReplicaReport."""

    @abstractmethod
    def describe(self):
        """Return the state as a mapping of names to numbers and texts."""

    @abstractmethod
    def _is_accepting(self):
        """Return whether new requests are taken."""

    @abstractmethod
    def _count_running(self):
        """Return the number of requests at the backend server."""

    @abstractmethod
    def _is_running(self, attempt):
        """Return whether an attempt is at the backend server."""

    @abstractmethod
    def _cancel_running(self, attempt):
        """Stop an attempt that was handed over, if that can be done."""

    @abstractmethod
    def _end_drain(self):
        """End what still runs, since the planned stop takes too long."""

    def _take_common(self, peer, message):
        if isinstance(message, CancelAttempt):
            self._cancel(peer, message.attempt)
        elif isinstance(message, FenceAttempt):
            self._fence(peer, message.attempt)
        else:
            return False
        return True

    def _is_first(self, peer, attempt):
        """Return whether an attempt may be taken in; answer it if it never may."""
        state = self._find_state(attempt)
        if state is AttemptState.UNSEEN:
            return True
        if state is AttemptState.FENCED:
            self._ledger.set(attempt, AttemptState.REFUSED)
            self._outbox.send(peer, AttemptRefused(attempt, Cause.CANCELLED))
        elif state is AttemptState.FORGOTTEN:
            self._outbox.send(peer, AttemptFailed(attempt, Cause.INTERNAL))
        return False

    def _find_state(self, attempt):
        if attempt in self._queued:
            return AttemptState.QUEUED
        if self._is_running(attempt):
            return AttemptState.HANDED_OVER
        return self._ledger.find(attempt)

    def _fence(self, peer, attempt):
        state = self._find_state(attempt)
        handed_over = state in (AttemptState.HANDED_OVER, AttemptState.FORGOTTEN)
        if state is AttemptState.UNSEEN:
            self._ledger.set(attempt, AttemptState.FENCED)
        elif state is AttemptState.QUEUED:
            self._dequeue(self._queued[attempt])
            self._ledger.set(attempt, AttemptState.REFUSED)
        self._outbox.send(peer, AttemptFenced(attempt, handed_over))

    def _cancel(self, peer, attempt):
        state = self._find_state(attempt)
        if state is AttemptState.UNSEEN:
            self._ledger.set(attempt, AttemptState.FENCED)
        elif state is AttemptState.QUEUED:
            self._refuse_queued(self._queued[attempt], Cause.CANCELLED)
        elif state is AttemptState.HANDED_OVER:
            self._cancel_running(attempt)

    def _enqueue(self, request):
        attempt = request.order.attempt
        self._queued[attempt] = request
        self._queued_tokens += request.tokens
        self._ledger.set(attempt, AttemptState.QUEUED)
        wait = max(timedelta(0), request.deadline - self._clock.monotonic())
        self._deadlines[attempt] = self._clock.call_later(
            wait, self._refuse_late, attempt
        )

    def _dequeue(self, request):
        attempt = request.order.attempt
        del self._queued[attempt]
        self._queued_tokens -= request.tokens
        timer = self._deadlines.pop(attempt, None)
        if timer is not None:
            timer.cancel()

    def _take_for_hand_over(self, request, now):
        """Take a request out of the queue, or refuse it; return whether it may run."""
        if now >= request.deadline:
            self._refuse_queued(request, Cause.DEADLINE)
            return False
        if not self._has_valid_key(request.order):
            self._refuse_queued(request, Cause.KEY_REJECTED)
            return False
        self._dequeue(request)
        self._ledger.set(request.order.attempt, AttemptState.HANDED_OVER)
        return True

    def _refuse_late(self, attempt):
        request = self._queued.get(attempt)
        if request is not None:
            self._refuse_queued(request, Cause.DEADLINE)

    def _refuse_queued(self, request, cause, retry_after=timedelta(0)):
        self._dequeue(request)
        self._refuse(request.peer, request.order, cause, retry_after)

    def _refuse(self, peer, order, cause, retry_after=timedelta(0)):
        self._ledger.set(order.attempt, AttemptState.REFUSED)
        self._on_event(RequestRefused(order.attempt, order.team, cause))
        self._outbox.send(peer, AttemptRefused(order.attempt, cause, retry_after))

    def _find_refusal(self, peer, order):
        """Return why an order can't be queued, or None."""
        if self._stopped or not self._started or self._draining is not None:
            return Cause.STOPPING
        if peer not in self._peers:
            return Cause.CANCELLED
        if not self._has_valid_key(order):
            return Cause.KEY_REJECTED
        return None

    def _has_valid_key(self, order):
        if not order.key_record:
            return True
        return self._is_key_valid(order.key_record, order.key_version)

    def _note_duration(self, duration):
        self._mean_duration += (duration - self._mean_duration) * DURATION_WEIGHT

    def _estimate_wait(self, batch_size):
        wait = self._mean_duration * (len(self._queued) + 1) / batch_size
        return min(max(wait, LEAST_RETRY_AFTER), MOST_RETRY_AFTER)

    def _note_accepting(self):
        if not self._stopped:
            self._reporter.note_accepting(self._is_accepting())

    def _check_drained(self):
        if self._draining and not self._count_running():
            waiting, self._draining[:] = list(self._draining), []
            for result in waiting:
                result.callback(None)

    def _next_sequence(self):
        self._sequence += 1
        return self._sequence


def _ignore_event(event):
    pass
