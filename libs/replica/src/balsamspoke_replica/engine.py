"""Replica of an engine; no other process sends commands to that engine."""

from collections import deque
from datetime import timedelta

from balsamspoke_types.exceptions import BackendRefused, BackendUnreachable
from balsamspoke_types.messages import (
    AttemptFailed,
    CreditTokens,
    ReplicaReport,
    RunGeneration,
)
from balsamspoke_types.outcomes import Cause

from .admission import EngineAdmission
from .base import Replica
from .coalescing import CoalescedCall
from .exceptions import ReplicaStateError
from .generations import RunningGenerations
from .health import EngineMonitor
from .ledger import AttemptState
from .loader import AdapterLoader
from .orders import CONFLICT, NOT_FOUND, get_refusal_cause
from .ownership import EngineOwnership
from .queueing import FairQueue, QueuedRequest, count_tokens
from .settings import DEFAULT_SETTINGS
from .slots import PopularitySlotPolicy

REPORT_LAG_POLLS = 3


class EngineReplica(Replica):
    """Queue generations for one engine, load their adapters and stream the answers.

    The side process next to the engine runs it and serves entry processes with it.

    Parameters
    ----------
    process : ProcessId
        The side process that runs the replica.
    model : Model
        Base model that the engine serves, with its batch size and adapter slots.
    clock : Clock
        Monotonic time and timers.
    random_source : random.Random
        Source of the backoff jitter.
    engine : Engine
        The backend server.
    send : callable
        Called with a ProcessId and the message to send to it.
    is_key_valid : callable
        Called with the name of a key record and the version of it that the entry
        process checked; returns whether the key is still valid.
    fencing : int
        Fencing token of this process, sent with each command; higher than that of
        any earlier process.
    is_holder : callable
        Called before each command; returns whether this process still is the one
        that may send commands to the engine.
    settings : ReplicaSettings
        Limits and intervals.
    on_event : callable or None
        Called with each event; the classes are in the module ``events``.
    queue_policy : QueuePolicy or None
        Order in which queued requests are started; a FairQueue if None.
    slot_policy : SlotPolicy or None
        Choice of the adapter to evict; a PopularitySlotPolicy if None.
    """

    def __init__(
        self,
        process,
        model,
        clock,
        random_source,
        engine,
        send,
        is_key_valid,
        fencing,
        is_holder,
        settings=DEFAULT_SETTINGS,
        on_event=None,
        queue_policy=None,
        slot_policy=None,
    ):
        super().__init__(process, clock, send, is_key_valid, settings, on_event)
        self.model = model
        self._ownership = EngineOwnership(
            fencing, is_holder, self._handle_lost_ownership, self._on_event
        )
        self._queue = queue_policy or FairQueue(settings.aging_time)
        self._slot_policy = slot_policy or PopularitySlotPolicy()
        self._loader = AdapterLoader(
            clock,
            random_source,
            engine,
            fencing,
            settings,
            self._slot_policy,
            self._queue,
            self._can_send_commands,
            self._handle_slot_change,
            self._ownership.lose,
            self._check_engine,
            self._on_event,
        )
        self._loader.set_capacity(model.adapter_slots)
        self._monitor = EngineMonitor(clock, engine, settings, self, self._on_event)
        self._generations = RunningGenerations(
            clock,
            engine,
            fencing,
            settings,
            self._loader,
            self._queue,
            self._outbox,
            self,
            self._on_event,
        )
        self._admission = EngineAdmission(
            settings, self._monitor, self._loader, self._ownership
        )
        self._dispatch_call = CoalescedCall(self._start_queued_requests)
        self._recent_batch_usage = deque(maxlen=REPORT_LAG_POLLS)
        self._needs_reconcile = False
        self._overdue_timer = None

    def start(self):
        """Start polling the engine; no command is sent before its first report."""
        super().start()
        self._monitor.poll()

    def stop(self):
        """Cancel all generations immediately, without sending anything more."""
        super().stop()
        self._monitor.stop()
        self._generations.stop()

    def set_model(self, model):
        """Apply a changed batch size and number of adapter slots.

        Raises
        ------
        ReplicaStateError
            If the name isn't that of the model served here.
        """
        if model.name != self.model.name:
            raise ReplicaStateError(
                f"replica serves model {self.model.name}, not {model.name}"
            )
        self.model = model
        self._loader.set_capacity(model.adapter_slots)
        self._dispatch()

    def peer_message(self, peer, message):
        """Handle a message, and return whether it is of a type for this replica."""
        if isinstance(message, RunGeneration):
            if not self._is_stopped and self._is_new_attempt(peer, message.attempt):
                self._receive_generation(peer, message)
            return True
        if isinstance(message, CreditTokens):
            self._generations.add_credit(message.attempt, message.count)
            return True
        return not self._is_stopped and self._handle_common_message(peer, message)

    def peer_connected(self, peer):
        """Register a peer and resume its streams."""
        super().peer_connected(peer)
        self._generations.set_connected(peer, True)

    def peer_disconnected(self, peer):
        """Drop the queued requests of a peer and pause its streams.

        The streams are cancelled if the peer isn't connected again after
        ``disconnect_grace``.
        """
        super().peer_disconnected(peer)
        self._generations.set_connected(peer, False)
        grace = self._settings.disconnect_grace
        self._clock.call_later(grace, self._cancel_disconnected, peer)

    def report(self):
        """Return a ReplicaReport with the next sequence number."""
        return ReplicaReport(
            self.model.name,
            self._next_sequence(),
            self._generations.batch_usage,
            len(self._queued),
            self._queued_tokens,
            self.model.batch_size,
            self._is_accepting(),
            self._loader.list_loaded(),
        )

    def describe(self):
        """Return the state for operators as a dict."""
        return {
            "model": self.model.name,
            "accepting": self._is_accepting(),
            "engine_up": self._monitor.is_up,
            "holder": not self._ownership.is_lost,
            "running": self._generations.batch_usage,
            "queued": len(self._queued),
            "queued_tokens": self._queued_tokens,
            "adapters": [str(adapter) for adapter in self._loader.list_loaded()],
            "remembered_attempts": len(self._ledger),
        }

    def engine_reported(self, report, is_first):
        """Handle a report of the engine; called by EngineMonitor.

        Parameters
        ----------
        report : EngineReport
            Report of the engine.
        is_first : bool
            Whether it is the first report that this process received.
        """
        reported_requests = report.running + report.waiting
        if is_first:
            # The report lags, so it can't prove yet that no request of an earlier
            # process runs.
            self._loader.adopt(report.adapters, may_have_orphans=True)
            orphan_time = self._settings.orphan_time
            self._clock.call_later(orphan_time, self._loader.clear_orphans)
        elif self._needs_reconcile:
            self._loader.reconcile(report.adapters)
        self._needs_reconcile = False
        self._recent_batch_usage.append(self._generations.batch_usage)
        # Reports lag: compare with the lowest batch usage of the last polls.
        has_enough_polls = len(self._recent_batch_usage) == REPORT_LAG_POLLS
        if has_enough_polls and reported_requests <= min(self._recent_batch_usage):
            self._loader.clear_orphans()
        self._update_accepting()
        self._dispatch()

    def engine_restarted(self):
        """Empty the slots and fail the generations; called by EngineMonitor."""
        self._loader.reset()
        self._generations.fail_at_engine(Cause.BACKEND_LOST)

    def engine_down(self):
        """Refuse the queued requests; called by EngineMonitor."""
        self._update_accepting()
        self._refuse_all(Cause.BACKEND_LOST)

    def generation_left_engine(self, duration):
        """Use a free place in the batch; called by RunningGenerations.

        Parameters
        ----------
        duration : timedelta
            Time that the generation spent at the engine.
        """
        self._record_duration(duration)
        self.pin_released()

    def pin_released(self):
        """Start requests or loads after an unpin; called by RunningGenerations."""
        if not self._is_stopped:
            self._dispatch()

    def generation_ended(self, request, finished, error):
        """Handle the end of a generation; called by RunningGenerations.

        Parameters
        ----------
        request : QueuedRequest
            The request of the generation.
        finished : GenerationFinished or None
            Message for the entry process; None after an error.
        error : BackendError or None
            Reason why the generation didn't finish.
        """
        if self._is_stopped:
            return
        attempt = request.message.attempt
        self._ledger.set(attempt, AttemptState.HANDED_OVER)
        if finished is not None:
            self._outbox.send(request.peer, finished)
        elif isinstance(error, BackendRefused):
            self._handle_refusal(request, error)
        elif isinstance(error, BackendUnreachable):
            self._refuse(request.peer, request.message, Cause.BACKEND_LOST)
            self._monitor.mark_down(str(error))
        else:
            failed = AttemptFailed(attempt, Cause.BACKEND_LOST)
            self._outbox.send(request.peer, failed)
            self._monitor.poll()
        self._notify_if_drained()

    def _receive_generation(self, peer, message):
        self._reporter.record_request(peer)
        now = self._clock.monotonic()
        tokens = count_tokens(message)
        if message.adapter is not None:
            self._slot_policy.record_request(message.adapter, now)
        cause = self._find_refusal_cause(
            peer, message
        ) or self._admission.find_refusal_cause(message, self.model.name)
        if cause is None and not self._admission.has_room(
            len(self._queued), self._queued_tokens, tokens
        ):
            cause = Cause.OVERLOADED
        if cause is not None:
            self._refuse(peer, message, cause, self._get_retry_after(cause, message))
            return
        request = QueuedRequest(message, peer, now, now + message.deadline, tokens)
        self._enqueue(request)
        self._dispatch()

    def _get_retry_after(self, cause, message):
        if cause is Cause.LOAD_FAILED:
            return self._loader.get_load_backoff(message.adapter)
        if cause is Cause.OVERLOADED:
            return self._estimate_wait(self.model.batch_size)
        return timedelta(0)

    def _enqueue(self, request):
        super()._enqueue(request)
        self._queue.add(request)

    def _dequeue(self, request):
        super()._dequeue(request)
        self._queue.remove(request)

    def _dispatch(self):
        if self._dispatch_call.run():
            self._notify_if_drained()

    def _start_queued_requests(self):
        while self._queued and self._monitor.is_up and self._can_send_commands():
            if self._generations.batch_usage >= self.model.batch_size:
                break
            now = self._clock.monotonic()
            request = self._queue.select(now, self._loader.list_runnable())
            if request is None:
                break
            self._hand_over(request)
        if self._queued and self._monitor.is_up:
            self._loader.start_loads()
            self._schedule_overdue_check()

    def _schedule_overdue_check(self):
        if self._overdue_timer is None:
            wait = self._settings.pass_over_time / 2
            self._overdue_timer = self._clock.call_later(wait, self._check_overdue)

    def _check_overdue(self):
        self._overdue_timer = None
        if not self._is_stopped:
            self._dispatch()

    def _hand_over(self, request):
        message = request.message
        now = self._clock.monotonic()
        if not self._dequeue_for_hand_over(request, now):
            return
        self._queue.charge(message, request.tokens)
        self._generations.start(request, now)

    def _handle_refusal(self, request, error):
        """Queue a request again or refuse it, after the engine refused to run it.

        It is queued again if only its adapter was missing at the engine.
        """
        message = request.message
        is_missing = error.status == NOT_FOUND and message.adapter is not None
        can_wait = request.peer in self._connected_peers and self._drain_waiters is None
        if is_missing and can_wait and not self._ownership.is_lost:
            self._loader.mark_missing(message.adapter)
            self._enqueue(request)
            self._monitor.poll()
            self._dispatch()
            return
        self._refuse(request.peer, message, get_refusal_cause(error.status))
        if error.status == CONFLICT:
            self._ownership.lose()

    def _cancel_running(self, attempt):
        self._generations.fail(attempt, Cause.CANCELLED)

    def _cancel_disconnected(self, peer):
        if peer not in self._connected_peers:
            self._generations.fail_peer(peer, Cause.CANCELLED)

    def _abort_running(self):
        self._generations.fail_all(Cause.STOPPING)
        self._notify_if_drained()

    def _count_running(self):
        return len(self._generations)

    def _is_running(self, attempt):
        return attempt in self._generations

    def _is_accepting(self):
        return (
            self._is_started
            and not self._is_stopped
            and self._drain_waiters is None
            and not self._ownership.is_lost
            and self._monitor.is_up
        )

    def _can_send_commands(self):
        return not self._is_stopped and self._ownership.check()

    def _handle_lost_ownership(self):
        self._update_accepting()
        self._refuse_all(Cause.NO_REPLICA)

    def _refuse_all(self, cause):
        if not self._is_stopped:
            for request in list(self._queued.values()):
                self._refuse_queued(request, cause)

    def _check_engine(self, reason):
        self._needs_reconcile = True
        check = getattr(reason, "check", None)
        if check is not None and check(BackendUnreachable):
            self._monitor.mark_down(reason.getErrorMessage())
        self._monitor.poll()

    def _handle_slot_change(self):
        if self._is_stopped:
            return
        for request in list(self._queued.values()):
            wait = self._loader.get_load_backoff(request.message.adapter)
            if wait is not None:
                self._refuse_queued(request, Cause.LOAD_FAILED, wait)
        self._dispatch()
