"""Base class of the replicas of engines and of plain services."""

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

MIN_RETRY_AFTER = timedelta(milliseconds=100)
MAX_RETRY_AFTER = timedelta(seconds=60)
DURATION_SMOOTHING = 0.1  # weight of the newest duration in the moving average


class Replica(ABC):
    """Base class of the replicas of engines and of plain services.

    It checks and queues requests, refuses or fences attempts, sends reports to the
    entry processes, and drains. Subclasses run the requests.

    Parameters
    ----------
    process : ProcessId
        This process.
    clock : Clock
        Monotonic time and timers.
    send : callable
        Called with a ProcessId and the message to send to it.
    is_key_valid : callable
        Called with the name of a key record and the version of it that the entry
        process checked; returns whether the key is still valid.
    settings : ReplicaSettings
        Limits and intervals.
    on_event : callable or None
        Called with each event; the classes are in the module ``events``.
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
        self._connected_peers = set()
        self._queued = {}
        self._queued_tokens = 0
        self._deadline_timers = {}
        self._mean_duration = timedelta(seconds=1)
        self._sequence = 0
        self._is_started = False
        self._is_stopped = False
        self._drain_waiters = None

    def start(self):
        """Start sending reports.

        Raises
        ------
        ReplicaStateError
            If the replica is already started.
        """
        if self._is_started:
            raise ReplicaStateError("replica is already started")
        self._is_started = True
        self._reporter.start()

    def stop(self):
        """Stop immediately, without sending anything more."""
        self._is_stopped = True
        self._reporter.stop()
        self._outbox.stop()
        for timer in self._deadline_timers.values():
            timer.cancel()
        self._deadline_timers.clear()

    def peer_connected(self, peer):
        """Register a connected ProcessId and send it a report."""
        self._connected_peers.add(peer)
        self._reporter.add_peer(peer)

    def peer_disconnected(self, peer):
        """Unregister a ProcessId and drop its queued requests."""
        self._connected_peers.discard(peer)
        self._reporter.remove_peer(peer)
        self._outbox.drop(peer)
        for request in [found for found in self._queued.values() if found.peer == peer]:
            self._dequeue(request)
            self._ledger.set(request.message.attempt, AttemptState.REFUSED)

    def drain(self):
        """Refuse queued and new requests, and wait until no request runs.

        Requests that still run after ``drain_time`` are aborted.

        Returns
        -------
        Deferred
            Fires with None when no request runs any more.
        """
        if self._drain_waiters is None:
            self._drain_waiters = []
            for request in list(self._queued.values()):
                self._refuse_queued(request, Cause.STOPPING)
            self._update_accepting()
            self._clock.call_later(self._settings.drain_time, self._abort_running)
        waiter = Deferred()
        self._drain_waiters.append(waiter)
        self._notify_if_drained()
        return waiter

    @abstractmethod
    def report(self):
        """Return a ReplicaReport with the next sequence number."""

    @abstractmethod
    def describe(self):
        """Return the state for operators as a dict."""

    @abstractmethod
    def _is_accepting(self):
        """Return whether new requests are accepted."""

    @abstractmethod
    def _count_running(self):
        """Return the number of requests that have not ended since their hand-over."""

    @abstractmethod
    def _is_running(self, attempt):
        """Return whether an attempt was handed over and has not ended."""

    @abstractmethod
    def _cancel_running(self, attempt):
        """Stop an attempt that was handed over, if the backend server allows it."""

    @abstractmethod
    def _abort_running(self):
        """End the running requests when the drain times out."""

    def _handle_common_message(self, peer, message):
        if isinstance(message, CancelAttempt):
            self._cancel_attempt(peer, message.attempt)
        elif isinstance(message, FenceAttempt):
            self._fence_attempt(peer, message.attempt)
        else:
            return False
        return True

    def _is_new_attempt(self, peer, attempt):
        """Return whether an attempt was not received before.

        Refuses the attempt if it was fenced, and fails it if it is forgotten, since
        it may have run.
        """
        state = self._get_attempt_state(attempt)
        if state is AttemptState.UNSEEN:
            return True
        if state is AttemptState.FENCED:
            self._ledger.set(attempt, AttemptState.REFUSED)
            self._outbox.send(peer, AttemptRefused(attempt, Cause.CANCELLED))
        elif state is AttemptState.FORGOTTEN:
            self._outbox.send(peer, AttemptFailed(attempt, Cause.INTERNAL))
        return False

    def _get_attempt_state(self, attempt):
        if attempt in self._queued:
            return AttemptState.QUEUED
        if self._is_running(attempt):
            return AttemptState.HANDED_OVER
        return self._ledger.find(attempt)

    def _fence_attempt(self, peer, attempt):
        state = self._get_attempt_state(attempt)
        handed_over = state in (AttemptState.HANDED_OVER, AttemptState.FORGOTTEN)
        if state is AttemptState.UNSEEN:
            self._ledger.set(attempt, AttemptState.FENCED)
        elif state is AttemptState.QUEUED:
            self._dequeue(self._queued[attempt])
            self._ledger.set(attempt, AttemptState.REFUSED)
        self._outbox.send(peer, AttemptFenced(attempt, handed_over))

    def _cancel_attempt(self, peer, attempt):
        state = self._get_attempt_state(attempt)
        if state is AttemptState.UNSEEN:
            self._ledger.set(attempt, AttemptState.FENCED)
        elif state is AttemptState.QUEUED:
            self._refuse_queued(self._queued[attempt], Cause.CANCELLED)
        elif state is AttemptState.HANDED_OVER:
            self._cancel_running(attempt)

    def _enqueue(self, request):
        attempt = request.message.attempt
        self._queued[attempt] = request
        self._queued_tokens += request.tokens
        self._ledger.set(attempt, AttemptState.QUEUED)
        wait = max(timedelta(0), request.deadline - self._clock.monotonic())
        self._deadline_timers[attempt] = self._clock.call_later(
            wait, self._refuse_expired, attempt
        )

    def _dequeue(self, request):
        attempt = request.message.attempt
        del self._queued[attempt]
        self._queued_tokens -= request.tokens
        timer = self._deadline_timers.pop(attempt, None)
        if timer is not None:
            timer.cancel()

    def _dequeue_for_hand_over(self, request, now):
        """Dequeue a request and return whether it may run.

        A request past its deadline or with an invalid key is refused.
        """
        if now >= request.deadline:
            self._refuse_queued(request, Cause.DEADLINE)
            return False
        if not self._has_valid_key(request.message):
            self._refuse_queued(request, Cause.KEY_REJECTED)
            return False
        self._dequeue(request)
        self._ledger.set(request.message.attempt, AttemptState.HANDED_OVER)
        return True

    def _refuse_expired(self, attempt):
        request = self._queued.get(attempt)
        if request is not None:
            self._refuse_queued(request, Cause.DEADLINE)

    def _refuse_queued(self, request, cause, retry_after=timedelta(0)):
        self._dequeue(request)
        self._refuse(request.peer, request.message, cause, retry_after)

    def _refuse(self, peer, message, cause, retry_after=timedelta(0)):
        self._ledger.set(message.attempt, AttemptState.REFUSED)
        self._on_event(RequestRefused(message.attempt, message.team, cause))
        self._outbox.send(peer, AttemptRefused(message.attempt, cause, retry_after))

    def _find_refusal_cause(self, peer, message):
        """Return the Cause for which a request can't be queued, or None."""
        if self._is_stopped or not self._is_started or self._drain_waiters is not None:
            return Cause.STOPPING
        if peer not in self._connected_peers:
            return Cause.CANCELLED
        if not self._has_valid_key(message):
            return Cause.KEY_REJECTED
        return None

    def _has_valid_key(self, message):
        if not message.key_record:
            return True
        return self._is_key_valid(message.key_record, message.key_version)

    def _record_duration(self, duration):
        self._mean_duration += (duration - self._mean_duration) * DURATION_SMOOTHING

    def _estimate_wait(self, batch_size):
        wait = self._mean_duration * (len(self._queued) + 1) / batch_size
        return min(max(wait, MIN_RETRY_AFTER), MAX_RETRY_AFTER)

    def _update_accepting(self):
        if not self._is_stopped:
            self._reporter.update_accepting(self._is_accepting())

    def _notify_if_drained(self):
        if self._drain_waiters and not self._count_running():
            waiters, self._drain_waiters[:] = list(self._drain_waiters), []
            for waiter in waiters:
                waiter.callback(None)

    def _next_sequence(self):
        self._sequence += 1
        return self._sequence


def _ignore_event(event):
    pass
