"""Planning of a replica's adapters: what to load next, and what to evict for it."""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from ..peers.pacing import choose_lifetime
from .crashes import AdapterCrashes

# Adapters that one replica may load at once.
MAX_PENDING_ADAPTERS = 4
# An adapter is evicted only after it has not been used for this long.
MIN_IDLE_TIME = timedelta(milliseconds=500)
# An order without an answer may still be executed up to this much later.
LATE_ORDER_WINDOW = timedelta(seconds=15)


class OrderKind(Enum):
    """Operation that a replica is asked to perform."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclass(frozen=True, slots=True)
class Order:
    """An order to a replica.

    Attributes
    ----------
    kind : OrderKind
        Operation to perform.
    model : str
        Name of the base model.
    adapter : str or None
        Name of the adapter; None if the order concerns the base model itself.
    version : int
        Version of the adapter; 0 for the newest.
    expected_orders : int
        Number of orders that the replica must have accepted before; otherwise it
        refuses this one.
    """

    kind: OrderKind
    model: str
    adapter: str | None
    version: int
    expected_orders: int


@dataclass(frozen=True, slots=True)
class EngineReport:
    """Report of a replica on its own state.

    Attributes
    ----------
    born : int
        Start time in milliseconds; identifies one start of the replica.
    models : dict
        Versions of the adapters that it holds, by model and adapter name.
    pending : dict
        Versions of the adapters being loaded, by ``model/name``.
    orders : int
        Orders accepted since its start.
    is_busy : bool
        Whether a model is being loaded or unloaded.
    running : int
        Requests that run.
    waiting : int
        Requests that are queued.
    is_leaving : bool
        Whether the replica states that it leaves.
    slowdown : float or None
        How long work takes there now, as a multiple of the usual time; None if not
        stated.
    """

    born: int
    models: dict[str, dict[str, int]] = field(default_factory=dict)
    pending: dict[str, int] = field(default_factory=dict)
    orders: int = 0
    is_busy: bool = False
    running: int = 0
    waiting: int = 0
    is_leaving: bool = False
    slowdown: float | None = None


@dataclass(slots=True)
class _Demand:
    demand: object
    expires: timedelta


@dataclass(slots=True)
class _LoadRequest:
    """A wanted adapter, and the time until which each entry process wants it.

    ``urgent`` holds the entry processes that have a request which can be on time.
    """

    first_wanted: timedelta
    urgent: set[str] = field(default_factory=set)
    expires: dict[str, timedelta] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class _LostOrder:
    """An order that was not answered, and whether it loads an adapter."""

    expires: timedelta
    is_load: bool


class AdapterPlan:
    """Decide the next order to one replica.

    This handles a skewed popularity with more adapters than slots: wanted adapters are
    loaded in the order in which they were first wanted, and the least recently used
    adapter is evicted for them, but never one in use.
    """

    def __init__(self):
        self._load_requests = {}
        self._demands = {}
        self._last_used = {}
        self._lost_orders = {}
        self._crashes = AdapterCrashes()

    def record_report(self, report, now):
        """Record a new EngineReport at a monotonic time."""
        self._crashes.record_report(report, now)

    def record_sent_order(self, order):
        """Record that an Order was sent, whatever the replica answered."""
        if order.kind is OrderKind.LOAD and order.adapter is not None:
            self._crashes.record_order(f"{order.model}/{order.adapter}", order.version)

    def list_refused(self, now):
        """Return the names (``model/name``) of adapters that may crash the replica."""
        return self._crashes.list_delayed(now)

    def record_demand(self, entry, demand, now):
        """Record an EntryDemand of the entry process at an IP address."""
        expires = now + choose_lifetime(timedelta(seconds=demand.interval))
        self._drop_stale_load_requests(entry, demand)
        self._demands[entry] = _Demand(demand, expires)
        for name in demand.in_use:
            self._last_used[name] = now
        for wanted in demand.wanted:
            load_request = self._load_requests.setdefault(wanted, _LoadRequest(now))
            load_request.expires[entry] = expires
            load_request.urgent.discard(entry)
            if wanted in demand.urgent:
                load_request.urgent.add(entry)
            # The waiting request is sent as soon as the adapter is loaded. The adapter
            # counts as used until the entry process reports it as in use.
            self._last_used[wanted.adapter] = now

    def _drop_stale_load_requests(self, entry, demand):
        """Drop adapters that an entry process wanted before but no longer wants.

        The requests of that process have found the adapter elsewhere or have ended. At
        a busy replica, loading it anyway would delay all loads queued behind it.
        """
        previous = self._demands.get(entry)
        if previous is None:
            return
        for wanted in set(previous.demand.wanted) - set(demand.wanted):
            load_request = self._load_requests.get(wanted)
            if load_request is None:
                continue
            load_request.expires.pop(entry, None)
            load_request.urgent.discard(entry)
            if not load_request.expires:
                del self._load_requests[wanted]

    def record_lost_order(self, order, born, now):
        """Record that the replica that started at ``born`` did not answer an Order."""
        is_load = order.kind is OrderKind.LOAD and order.adapter is not None
        key = (born, order.expected_orders)
        self._lost_orders[key] = _LostOrder(now + LATE_ORDER_WINDOW, is_load)

    def has_demand(self, entry):
        """Return whether an entry process (by IP address) has recent demand."""
        return entry in self._demands

    def list_demands(self, now):
        """Return the EntryDemands that have not expired, by entry process."""
        for entry, received in list(self._demands.items()):
            if now > received.expires:
                del self._demands[entry]
        return {entry: received.demand for entry, received in self._demands.items()}

    def count_wanted(self, report):
        """Return the number of wanted adapters that an EngineReport lacks."""
        return sum(not _is_satisfied(report, wanted) for wanted in self._load_requests)

    def choose_order(self, report, engine, now):
        """Return the next Order, or None.

        Parameters
        ----------
        report : EngineReport
            A new report of the replica.
        engine : EngineLimits
            Capacity of the replica.
        now : timedelta
            Monotonic time.
        """
        if report.is_busy:
            return None
        if not report.models:
            return self._choose_model(report, engine)
        wanted = self._choose_wanted(report, now)
        if wanted is None or not self._may_load_beside(report, wanted):
            return None
        reserved_slots = self._count_late_loads(report, now)
        needs_slot = reserved_slots or wanted.adapter not in report.models[wanted.model]
        usable_slots = engine.adapter_slots - reserved_slots
        used_slots = self._count_slots(report)
        if needs_slot and used_slots >= usable_slots:
            # An eviction is followed by the lost orders too.
            can_evict = used_slots - 1 <= usable_slots
            return self._choose_eviction(report, now) if can_evict else None
        return Order(
            OrderKind.LOAD,
            wanted.model,
            wanted.adapter,
            wanted.version,
            report.orders,
        )

    def _may_load_beside(self, report, wanted):
        """Return whether an adapter may be loaded beside those that are pending."""
        if report.pending and self._crashes.is_suspect(wanted):
            return False
        if self._crashes.has_suspect(report.pending):
            return False
        return len(report.pending) < MAX_PENDING_ADAPTERS

    def _count_late_loads(self, report, now):
        """Return the number of lost loads that could be executed after the next order.

        A replica that restarts counts its orders from zero, so it may accept an order
        that was lost before the restart once its count matches, and after it others
        that were lost, one after the other. A slot is kept free for each.
        """
        for key, lost in list(self._lost_orders.items()):
            if now > lost.expires:
                del self._lost_orders[key]
        loads_by_count = {}
        for (born, expected), lost in self._lost_orders.items():
            if born != report.born:
                was_load = loads_by_count.get(expected, False)
                loads_by_count[expected] = was_load or lost.is_load
        loads = 0
        expected = report.orders + 1
        while expected in loads_by_count:
            loads += loads_by_count[expected]
            expected += 1
        return loads

    @staticmethod
    def _choose_model(report, engine):
        for model in engine.models:
            if model.size_megabytes <= engine.memory_megabytes:
                return Order(OrderKind.LOAD, model.name, None, 0, report.orders)
        return None

    def _choose_wanted(self, report, now):
        for wanted, load_request in self._order_load_requests():
            pending_version = report.pending.get(f"{wanted.model}/{wanted.adapter}", -1)
            if _is_satisfied(report, wanted) or now > max(
                load_request.expires.values()
            ):
                del self._load_requests[wanted]
            elif pending_version < wanted.version:
                if not self._crashes.is_delayed(wanted, now):
                    return wanted
        return None

    def _order_load_requests(self):
        """Return the wanted adapters with their load requests, the next one first.

        Adapters of requests that can be on time come first, the latest of them at the
        front: when slots are too few, requests that wait in turn would all be late. The
        others are loaded in the order in which they were wanted.
        """

        def make_key(item):
            load_request = item[1]
            if load_request.urgent:
                return 0, -load_request.first_wanted
            return 1, load_request.first_wanted

        return sorted(self._load_requests.items(), key=make_key)

    @staticmethod
    def _count_slots(report):
        held = {
            f"{model}/{name}"
            for model, adapters in report.models.items()
            for name in adapters
        }
        return len(held | set(report.pending))

    def _choose_eviction(self, report, now):
        in_use = {
            name for demand in self.list_demands(now).values() for name in demand.in_use
        }
        never = timedelta(0)
        candidates = [
            (self._last_used.get(name, never), model, name)
            for model, adapters in report.models.items()
            for name in adapters
            if name not in in_use and f"{model}/{name}" not in report.pending
        ]
        candidates = [each for each in candidates if now - each[0] >= MIN_IDLE_TIME]
        if not candidates:
            return None
        _, model, name = min(candidates)
        self._last_used.pop(name, None)
        return Order(OrderKind.UNLOAD, model, name, 0, report.orders)


def _is_satisfied(report, wanted):
    """Return whether nothing has to be loaded for a WantedAdapter."""
    held = report.models.get(wanted.model)
    return held is None or held.get(wanted.adapter, -1) >= wanted.version
