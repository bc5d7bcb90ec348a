"""The replica of an engine: the only one that gives it orders."""

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
from .exceptions import ReplicaStateError
from .generations import RunningGenerations
from .health import EngineWatch
from .holdership import Holdership
from .ledger import AttemptState
from .loader import AdapterLoader
from .orders import CONFLICT, NOT_FOUND, get_refusal_cause
from .pump import Pump
from .queueing import FairQueue, QueuedRequest, count_tokens
from .settings import DEFAULT_SETTINGS
from .slots import PopularitySlotPolicy

LAG_POLLS = 3


class EngineReplica(Replica):
    """One engine, as the process beside it gives it to entry processes.

    Parameters
    ----------
    process : ProcessId
        This process.
    model : Model
        What the engine serves; sizes of batch and slots.
    clock : Clock
        Time.
    random_source : random.Random
        Jitter.
    engine : Engine
        The engine.
    send : callable
        Called with a ProcessId and a message.
    is_key_valid : callable
        Called with the name and the checked version of a key's record.
    fencing : int
        Fencing number of the orders; higher than any earlier process's.
    is_holder : callable
        Asked before each order whether this process may still give it.
    settings : ReplicaSettings
        Bounds.
    on_event : callable or None
        Called with the events of ``events``.
    queue_policy : QueuePolicy or None
        Order of the queue; a FairQueue if None.
    slot_policy : SlotPolicy or None
        Choice of what is unloaded; a PopularitySlotPolicy if None.
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
        self._holdership = Holdership(
            fencing, is_holder, self._end_holdership, self._on_event
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
            self._may_order,
            self._take_slot_change,
            self._holdership.lose,
            self._doubt_engine,
            self._on_event,
        )
        self._loader.set_capacity(model.adapter_slots)
        self._watch = EngineWatch(clock, engine, settings, self, self._on_event)
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
            settings, self._watch, self._loader, self._holdership
        )
        self._pump_loop = Pump(self._start_what_fits)
        self._recent_running = deque(maxlen=LAG_POLLS)
        self._is_load_doubtful = False
        self._overdue_timer = None

    def start(self):
        """Begin to work; nothing is ordered before the engine's first report."""
        super().start()
        self._watch.ask()

    def stop(self):
        """Stop at once: generations are cancelled, nothing is sent any more."""
        super().stop()
        self._watch.stop()
        self._generations.stop()

    def set_model(self, model):
        """Go by changed sizes of batch and slots.

        Raises
        ------
        ReplicaStateError
            If it is another model.
        """
        if model.name != self.model.name:
            raise ReplicaStateError(f"serves {self.model.name}, not {model.name}")
        self.model = model
        self._loader.set_capacity(model.adapter_slots)
        self._pump()

    def peer_message(self, peer, message):
        """Take a message; return whether it was one for an engine's replica."""
        if isinstance(message, RunGeneration):
            if not self._stopped and self._is_first(peer, message.attempt):
                self._take_generation(peer, message)
            return True
        if isinstance(message, CreditTokens):
            self._generations.add_credit(message.attempt, message.count)
            return True
        return not self._stopped and self._take_common(peer, message)

    def peer_connected(self, peer):
        """Go on with the streams of a peer."""
        super().peer_connected(peer)
        self._generations.set_connected(peer, True)

    def peer_disconnected(self, peer):
        """Hold the streams of a peer, and cancel them if it stays away."""
        super().peer_disconnected(peer)
        self._generations.set_connected(peer, False)
        grace = self._settings.disconnect_grace
        self._clock.call_later(grace, self._cancel_disconnected, peer)

    def report(self):
        """Return a new ReplicaReport."""
        return ReplicaReport(
            self.model.name,
            self._next_sequence(),
            self._generations.at_engine,
            len(self._queued),
            self._queued_tokens,
            self.model.batch_size,
            self._is_accepting(),
            self._loader.get_loaded(),
        )

    def describe(self):
        """Return the state as a mapping of names to numbers and texts."""
        return {
            "model": self.model.name,
            "accepting": self._is_accepting(),
            "engine_up": self._watch.is_up,
            "holder": not self._holdership.is_lost,
            "running": self._generations.at_engine,
            "queued": len(self._queued),
            "queued_tokens": self._queued_tokens,
            "adapters": [str(adapter) for adapter in self._loader.get_loaded()],
            "remembered_attempts": len(self._ledger),
        }

    def engine_seen(self, report, is_first):
        """Take an engine's report, as EngineWatch calls it."""
        waiting = report.running + report.waiting
        if is_first:
            # The report lags: it can't show yet that no request of an earlier
            # process runs.
            self._loader.adopt(report.adapters, orphans=True)
            orphan_time = self._settings.orphan_time
            self._clock.call_later(orphan_time, self._loader.clear_orphans)
        elif self._is_load_doubtful:
            self._loader.reconcile(report.adapters)
        self._is_load_doubtful = False
        self._recent_running.append(self._generations.at_engine)
        is_covered = len(self._recent_running) == LAG_POLLS
        if is_covered and waiting <= min(self._recent_running):
            self._loader.clear_orphans()
        self._note_accepting()
        self._pump()

    def engine_restarted(self):
        """Count slots as empty and end all streams, as EngineWatch calls it."""
        self._loader.forget_all()
        self._generations.fail_at_engine(Cause.BACKEND_LOST)

    def engine_down(self):
        """Refuse what is queued, as EngineWatch calls it."""
        self._note_accepting()
        self._refuse_all(Cause.BACKEND_LOST)

    def generation_left(self, duration):
        """Take back a place in the batch, as RunningGenerations calls it."""
        self._note_duration(duration)
        self.pins_released()

    def pins_released(self):
        """Use what became free, as RunningGenerations calls it."""
        if not self._stopped:
            self._pump()

    def generation_ended(self, request, finished, error):
        """Take the end of a generation, as RunningGenerations calls it."""
        if self._stopped:
            return
        attempt = request.order.attempt
        self._ledger.set(attempt, AttemptState.HANDED_OVER)
        if finished is not None:
            self._outbox.send(request.peer, finished)
        elif isinstance(error, BackendRefused):
            self._take_back(request, error)
        elif isinstance(error, BackendUnreachable):
            self._refuse(request.peer, request.order, Cause.BACKEND_LOST)
            self._watch.note_down(str(error))
        else:
            failed = AttemptFailed(attempt, Cause.BACKEND_LOST)
            self._outbox.send(request.peer, failed)
            self._watch.ask()
        self._check_drained()

    def _take_generation(self, peer, order):
        self._reporter.note_request(peer)
        now = self._clock.monotonic()
        tokens = count_tokens(order)
        if order.adapter is not None:
            self._slot_policy.note_request(order.adapter, now)
        cause = self._find_refusal(peer, order) or self._admission.find_refusal(
            order, self.model.name
        )
        if cause is None and not self._admission.has_room(
            len(self._queued), self._queued_tokens, tokens
        ):
            cause = Cause.OVERLOADED
        if cause is not None:
            self._refuse(peer, order, cause, self._get_retry_after(cause, order))
            return
        request = QueuedRequest(order, peer, now, now + order.deadline, tokens)
        self._enqueue(request)
        self._pump()

    def _get_retry_after(self, cause, order):
        if cause is Cause.LOAD_FAILED:
            return self._loader.get_refusal_wait(order.adapter)
        if cause is Cause.OVERLOADED:
            return self._estimate_wait(self.model.batch_size)
        return timedelta(0)

    def _enqueue(self, request):
        super()._enqueue(request)
        self._queue.add(request)

    def _dequeue(self, request):
        super()._dequeue(request)
        self._queue.remove(request)

    def _pump(self):
        if self._pump_loop.run():
            self._check_drained()

    def _start_what_fits(self):
        while self._queued and self._watch.is_up and self._may_order():
            if self._generations.at_engine >= self.model.batch_size:
                break
            now = self._clock.monotonic()
            request = self._queue.select(now, self._loader.list_runnable())
            if request is None:
                break
            self._hand_over(request)
        if self._queued and self._watch.is_up:
            self._loader.advance()
            self._watch_overdue()

    def _watch_overdue(self):
        if self._overdue_timer is None:
            wait = self._settings.pass_over_time / 2
            self._overdue_timer = self._clock.call_later(wait, self._look_again)

    def _look_again(self):
        self._overdue_timer = None
        if not self._stopped:
            self._pump()

    def _hand_over(self, request):
        order = request.order
        now = self._clock.monotonic()
        if not self._take_for_hand_over(request, now):
            return
        self._queue.charge(order, request.tokens)
        self._generations.start(request, now)

    def _take_back(self, request, error):
        """Settle a request that the engine says it did not run."""
        order = request.order
        is_missing = error.status == NOT_FOUND and order.adapter is not None
        can_wait = request.peer in self._peers and self._draining is None
        if is_missing and can_wait and not self._holdership.is_lost:
            self._loader.forget(order.adapter)
            self._enqueue(request)
            self._watch.ask()
            self._pump()
            return
        self._refuse(request.peer, order, get_refusal_cause(error.status))
        if error.status == CONFLICT:
            self._holdership.lose()

    def _cancel_running(self, attempt):
        self._generations.fail(attempt, Cause.CANCELLED)

    def _cancel_disconnected(self, peer):
        if peer not in self._peers:
            self._generations.fail_of(peer, Cause.CANCELLED)

    def _end_drain(self):
        self._generations.fail_all(Cause.STOPPING)
        self._check_drained()

    def _count_running(self):
        return len(self._generations)

    def _is_running(self, attempt):
        return attempt in self._generations

    def _is_accepting(self):
        return (
            self._started
            and not self._stopped
            and self._draining is None
            and not self._holdership.is_lost
            and self._watch.is_up
        )

    def _may_order(self):
        return not self._stopped and self._holdership.check()

    def _end_holdership(self):
        self._note_accepting()
        self._refuse_all(Cause.NO_REPLICA)

    def _refuse_all(self, cause):
        if not self._stopped:
            for request in list(self._queued.values()):
                self._refuse_queued(request, cause)

    def _doubt_engine(self, reason):
        self._is_load_doubtful = True
        check = getattr(reason, "check", None)
        if check is not None and check(BackendUnreachable):
            self._watch.note_down(reason.getErrorMessage())
        self._watch.ask()

    def _take_slot_change(self):
        if self._stopped:
            return
        for request in list(self._queued.values()):
            wait = self._loader.get_refusal_wait(request.order.adapter)
            if wait is not None:
                self._refuse_queued(request, Cause.LOAD_FAILED, wait)
        self._pump()
