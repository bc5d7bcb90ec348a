"""Adapter slots of one engine: loads, evictions and backoff."""

from datetime import timedelta

from balsamspoke_types.exceptions import BackendRefused, BackendUnreachable

from .events import (
    AdapterEvicted,
    LoadEnded,
    LoadFailed,
    LoadStarted,
    SlotHeld,
)
from .orders import CONFLICT
from .slots import Slot, SlotState

MAX_BACKOFF_DOUBLINGS = 16


class _LoadFailures:
    def __init__(self):
        self.count = 0
        self.retry_at = timedelta(0)


class AdapterLoader:
    """Load the adapters that queued requests need, and evict others for them.

    Parameters
    ----------
    clock : Clock
        Monotonic time and timers.
    random_source : random.Random
        Source of the backoff jitter.
    engine : Engine
        Engine that loads and unloads the adapters.
    fencing : int
        Fencing token of this process.
    settings : ReplicaSettings
        Limits and intervals.
    policy : SlotPolicy
        Chooses the adapter to evict.
    queue : QueuePolicy
        Provides the adapters with queued requests, in order of urgency.
    can_send_commands : callable
        Called before each load and unload; returns whether this process may still
        send commands to the engine.
    on_change : callable
        Called when slots changed, and when a backoff ends.
    on_fencing_conflict : callable
        Called when the engine refused the fencing token as too old.
    on_uncertain_state : callable
        Called when the engine's slots may differ from those tracked here, as after
        a restart. The argument is the Failure of the load or unload, or None if a
        clean-up after a refused load succeeded.
    on_event : callable
        Called with each event of a load, eviction or hold.
    """

    def __init__(
        self,
        clock,
        random_source,
        engine,
        fencing,
        settings,
        policy,
        queue,
        can_send_commands,
        on_change,
        on_fencing_conflict,
        on_uncertain_state,
        on_event,
    ):
        self._clock = clock
        self._random = random_source
        self._engine = engine
        self._fencing = fencing
        self._settings = settings
        self._policy = policy
        self._queue = queue
        self._can_send_commands = can_send_commands
        self._on_change = on_change
        self._on_fencing_conflict = on_fencing_conflict
        self._on_uncertain_state = on_uncertain_state
        self._on_event = on_event
        self._slots = {}
        self._failures = {}
        # Incremented when the engine restarts; results of earlier commands are ignored.
        self._epoch = 0
        self._loads_in_flight = 0
        self._may_have_orphans = False
        self._capacity = 1

    def set_capacity(self, slots):
        """Set the number of adapter slots, at least 1."""
        self._capacity = max(1, slots)

    def adopt(self, adapters, may_have_orphans):
        """Track adapters that the engine reports as loaded.

        Parameters
        ----------
        adapters : iterable of AdapterRef
            Adapters of the engine's report; those tracked already are skipped.
        may_have_orphans : bool
            Whether generations of an earlier process may still run on adopted
            adapters; these aren't evicted until ``clear_orphans``.
        """
        now = self._clock.monotonic()
        self._may_have_orphans = may_have_orphans
        for adapter in adapters:
            if adapter not in self._slots:
                slot = Slot(adapter, SlotState.LOADED, now, is_adopted=True)
                self._slots[adapter] = slot

    def clear_orphans(self):
        """Allow the eviction of adopted adapters, since no earlier generation runs."""
        self._may_have_orphans = False

    def reset(self):
        """Empty all slots after a restart of the engine; ignore pending results."""
        self._epoch += 1
        self._loads_in_flight = 0
        self._slots.clear()
        self._may_have_orphans = False

    def mark_missing(self, adapter):
        """Mark a loaded adapter as missing, since the engine doesn't have it."""
        slot = self._slots.get(adapter)
        if slot is not None and slot.state is SlotState.LOADED:
            slot.state = SlotState.MISSING
            self._drop_if_unused(slot)

    def list_loaded(self):
        """Return the loaded adapters as a sorted tuple."""
        return tuple(
            sorted(
                adapter
                for adapter, slot in self._slots.items()
                if slot.state is SlotState.LOADED
            )
        )

    def list_runnable(self):
        """Return the adapters on which requests can start; None is the base model."""
        ready = [
            adapter
            for adapter, slot in self._slots.items()
            if slot.state is SlotState.LOADED and not slot.is_held
        ]
        return [None, *ready]

    def pin(self, adapter):
        """Protect an adapter from eviction for a request; return its slot or None."""
        slot = self._slots.get(adapter)
        if slot is not None:
            slot.pins += 1
            slot.last_used = self._clock.monotonic()
        return slot

    def unpin(self, slot):
        """Remove the pin of one request from a slot that ``pin`` returned."""
        if slot is not None:
            slot.pins -= 1
            slot.last_used = self._clock.monotonic()
            self._drop_if_unused(slot)

    def get_load_backoff(self, adapter):
        """Return the remaining backoff of an adapter whose loads failed too often.

        Returns
        -------
        timedelta or None
            None if fewer than ``load_tries`` loads failed in a row, or if the
            backoff is over.
        """
        failures = self._failures.get(adapter)
        if failures is None or failures.count < self._settings.load_tries:
            return None
        wait = failures.retry_at - self._clock.monotonic()
        return wait if wait > timedelta(0) else None

    def start_loads(self):
        """Start the loads that queued requests need, and evict adapters for them.

        At most ``load_permits`` loads run at a time, and none starts while an
        adapter is being unloaded.
        """
        if self._loads_in_flight >= self._settings.load_permits or self._is_unloading():
            return
        now = self._clock.monotonic()
        wanted = self._list_wanted(now)
        self._release_holds(wanted)
        blocked = []
        for adapter, is_overdue in wanted:
            if self._loads_in_flight >= self._settings.load_permits:
                return
            if adapter in self._slots or len(self._slots) < self._capacity:
                self._start_load(adapter)
            else:
                blocked.append((adapter, is_overdue))
        if blocked:
            self._make_room(blocked, now)

    def reconcile(self, adapters):
        """Track adapters of the engine's report that weren't tracked before.

        Called after a failed load or unload, since untracked adapters may occupy the
        engine's slots. The report lags, so an adapter may be tracked that is no
        longer loaded; this is corrected when the engine refuses the next command
        for it.
        """
        self.adopt(adapters, self._may_have_orphans)

    def _list_wanted(self, now):
        pass_over_time = self._settings.pass_over_time
        return [
            (adapter, now - arrival >= pass_over_time)
            for adapter, arrival in self._queue.order_adapters(now)
            if adapter is not None
            and self._is_absent(adapter)
            and not self._is_backing_off(adapter, now)
        ]

    def _is_unloading(self):
        return any(slot.state is SlotState.UNLOADING for slot in self._slots.values())

    def _is_absent(self, adapter):
        slot = self._slots.get(adapter)
        return slot is None or slot.state is SlotState.MISSING

    def _drop_if_unused(self, slot):
        """Drop a missing slot unless pins show that requests may still run on it."""
        is_missing = slot.state is SlotState.MISSING and not slot.pins
        if is_missing and self._slots.get(slot.adapter) is slot:
            del self._slots[slot.adapter]

    def _is_backing_off(self, adapter, now):
        failures = self._failures.get(adapter)
        return failures is not None and now < failures.retry_at

    def _release_holds(self, wanted):
        if not any(is_overdue for _, is_overdue in wanted):
            for slot in self._slots.values():
                slot.is_held = False

    def _make_room(self, blocked, now):
        idle = [slot for slot in self._slots.values() if self._is_evictable(slot)]
        unwanted = [slot for slot in idle if not self._queue.count(slot.adapter)]
        overdue_adapter = next(
            (adapter for adapter, is_overdue in blocked if is_overdue), None
        )
        if overdue_adapter is not None and idle:
            held = [slot for slot in idle if slot.is_held]
            candidates = held or unwanted or idle
            self._evict(self._choose_slot_to_evict(candidates, now), overdue_adapter)
        elif unwanted:
            self._evict(self._choose_slot_to_evict(unwanted, now), blocked[0][0])
        elif overdue_adapter is not None:
            self._hold_slot(overdue_adapter)

    def _choose_slot_to_evict(self, slots, now):
        return self._policy.choose_slot_to_evict(slots, now, self._queue.count)

    def _is_evictable(self, slot):
        is_protected = self._may_have_orphans and slot.is_adopted
        return slot.state is SlotState.LOADED and not slot.pins and not is_protected

    def _hold_slot(self, successor):
        if any(slot.is_held for slot in self._slots.values()):
            return
        usable = [
            slot
            for slot in self._slots.values()
            if slot.state is SlotState.LOADED
            and not (self._may_have_orphans and slot.is_adopted)
        ]
        if usable:
            held = min(usable, key=lambda slot: (slot.pins, slot.last_used))
            held.is_held = True
            self._on_event(SlotHeld(held.adapter, successor))

    def _start_load(self, adapter):
        if not self._can_send_commands():
            return
        now = self._clock.monotonic()
        slot = self._slots.setdefault(adapter, Slot(adapter, SlotState.LOADING, now))
        slot.state = SlotState.LOADING
        self._loads_in_flight += 1
        self._on_event(LoadStarted(adapter))
        result = self._engine.load_adapter(adapter, self._fencing)
        epoch = self._epoch
        result.addCallback(self._handle_load_success, slot, epoch, now)
        result.addErrback(self._handle_load_failure, slot, epoch)

    def _handle_load_success(self, _, slot, epoch, started):
        if epoch != self._epoch:
            return
        self._loads_in_flight -= 1
        slot.state = SlotState.LOADED
        slot.last_used = self._clock.monotonic()
        self._failures.pop(slot.adapter, None)
        duration = self._clock.monotonic() - started
        self._on_event(LoadEnded(slot.adapter, duration))
        self._on_change()

    def _handle_load_failure(self, failure, slot, epoch):
        if epoch != self._epoch:
            return
        self._record_load_failure(slot.adapter, failure)
        is_refused = failure.check(BackendRefused)
        if is_refused and not slot.pins and self._can_send_commands():
            # The load may be partly done, and its 409 has several causes. An
            # unload resolves both: its only 409 is for an old fencing token.
            slot.state = SlotState.UNLOADING
            result = self._engine.unload_adapter(slot.adapter, self._fencing)
            result.addBoth(self._handle_cleanup_end, slot, epoch)
            return
        self._loads_in_flight -= 1
        slot.state = SlotState.MISSING
        self._drop_if_unused(slot)
        if not is_refused:
            self._on_uncertain_state(failure)
        self._on_change()

    def _handle_cleanup_end(self, result, slot, epoch):
        if epoch != self._epoch:
            return
        self._loads_in_flight -= 1
        self._slots.pop(slot.adapter, None)
        if _is_conflict(result):
            self._on_fencing_conflict()
        else:
            self._on_uncertain_state(result)
        self._on_change()

    def _record_load_failure(self, adapter, failure):
        settings = self._settings
        failures = self._failures.setdefault(adapter, _LoadFailures())
        if not failure.check(BackendUnreachable):
            failures.count += 1
        doublings = min(failures.count, MAX_BACKOFF_DOUBLINGS) - 1
        longest_wait = settings.load_backoff * 2 ** max(0, doublings)
        wait = min(longest_wait, settings.load_backoff_limit)
        wait *= 0.5 + self._random.random() / 2
        failures.retry_at = self._clock.monotonic() + wait
        reason = failure.getErrorMessage()
        self._on_event(LoadFailed(adapter, failures.count, wait, reason))
        self._clock.call_later(wait, self._on_change)

    def _evict(self, slot, successor):
        if not self._can_send_commands():
            return
        slot.state = SlotState.UNLOADING
        self._on_event(AdapterEvicted(slot.adapter, successor))
        result = self._engine.unload_adapter(slot.adapter, self._fencing)
        result.addBoth(self._handle_unload_end, slot, self._epoch)

    def _handle_unload_end(self, result, slot, epoch):
        if epoch != self._epoch:
            return
        self._slots.pop(slot.adapter, None)
        if _is_conflict(result):
            self._on_fencing_conflict()
        elif result is not None and not result.check(BackendRefused):
            self._on_uncertain_state(result)
        self._on_change()


def _is_conflict(result):
    refused = getattr(result, "check", None) and result.check(BackendRefused)
    return bool(refused) and result.value.status == CONFLICT
