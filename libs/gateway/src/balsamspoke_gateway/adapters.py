"""Which adapters a replica holds: what to load next, and what makes room."""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from .pacing import choose_lifetime

# Adapters that may be on their way to one replica at once.
MAX_PENDING_ADAPTERS = 4
# An adapter used this lately is kept while another can go.
MIN_IDLE_TIME = timedelta(milliseconds=500)
# An order without an answer may be carried out this much later.
LATE_ORDER_WINDOW = timedelta(seconds=15)


class OrderKind(Enum):
    """What a replica is told to do."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclass(frozen=True, slots=True)
class Order:
    """An order to a replica.

    Attributes
    ----------
    kind : OrderKind
        What to do.
    model : str
        Base model.
    adapter : str or None
        Adapter of it; None for the model itself.
    version : int
        Of the adapter; 0 for the newest.
    expected_orders : int
        The replica refuses the order unless it has accepted just so many.
    """

    kind: OrderKind
    model: str
    adapter: str | None
    version: int
    expected_orders: int


@dataclass(frozen=True, slots=True)
class EngineReport:
    """What a replica says of itself.

    Attributes
    ----------
    born : int
        When it started, in milliseconds.
    models : dict
        Versions of adapters by model and name.
    pending : dict
        Versions of adapters on their way, by model/name.
    orders : int
        Accepted since its start.
    is_busy : bool
        Whether a model is being loaded or unloaded.
    running, waiting : int
        Requests.
    """

    born: int
    models: dict[str, dict[str, int]] = field(default_factory=dict)
    pending: dict[str, int] = field(default_factory=dict)
    orders: int = 0
    is_busy: bool = False
    running: int = 0
    waiting: int = 0


@dataclass(slots=True)
class _Demand:
    demand: object
    expires: timedelta


@dataclass(slots=True)
class _LoadRequest:
    """An adapter that is asked for: since when, and until when by which entry."""

    first_wanted: timedelta
    expires: dict[str, timedelta] = field(default_factory=dict)


class AdapterPlan:
    """Decide the next order to one replica.

    Answers a skewed popularity with more adapters than places: what requests wait
    for is loaded in the order it was asked for, and the adapter that was not used
    for the longest time makes room, never one in use.
    """

    def __init__(self):
        self._load_requests = {}
        self._demands = {}
        self._last_used = {}
        self._lost_orders = {}

    def record_demand(self, entry, demand, now):
        """Take an EntryDemand of an entry process, named by its VM's address."""
        expires = now + choose_lifetime(timedelta(seconds=demand.interval))
        self._drop_stale_requests(entry, demand)
        self._demands[entry] = _Demand(demand, expires)
        for name in demand.in_use:
            self._last_used[name] = now
        for wanted in demand.wanted:
            load_request = self._load_requests.setdefault(wanted, _LoadRequest(now))
            load_request.expires[entry] = expires
            # Its first request follows at once; until that is told, it is in use.
            self._last_used[wanted.adapter] = now

    def _drop_stale_requests(self, entry, demand):
        """Drop what an entry process has asked for and asks for no more.

        Its requests have found the adapter elsewhere or have ended; under load, a
        load in vain would hold up all that wait behind it.
        """
        known = self._demands.get(entry)
        if known is None:
            return
        for wanted in set(known.demand.wanted) - set(demand.wanted):
            load_request = self._load_requests.get(wanted)
            if load_request is None:
                continue
            load_request.expires.pop(entry, None)
            if not load_request.expires:
                del self._load_requests[wanted]

    def record_lost_order(self, order, born, now):
        """Take note that an Order to the start at ``born`` got no answer."""
        self._lost_orders[(born, order.expected_orders)] = now + LATE_ORDER_WINDOW

    def has_demand(self, entry):
        """Whether an entry process has been heard lately."""
        return entry in self._demands

    def list_demands(self, now):
        """Return the EntryDemands that still count, by entry process."""
        for entry, known in list(self._demands.items()):
            if now > known.expires:
                del self._demands[entry]
        return {entry: known.demand for entry, known in self._demands.items()}

    def count_wanted(self, report):
        """Return how many adapters are asked for that an EngineReport lacks."""
        return sum(not _is_satisfied(report, wanted) for wanted in self._load_requests)

    def choose_order(self, report, engine, now):
        """Return the next Order, or None.

        Parameters
        ----------
        report : EngineReport
            Fresh.
        engine : EngineLimits
            What the replica has room for.
        now : timedelta
            Monotonic time.
        """
        if report.is_busy:
            return None
        if not report.models:
            return self._choose_model(report, engine)
        wanted = self._choose_wanted(report, now)
        if wanted is None or len(report.pending) >= MAX_PENDING_ADAPTERS:
            return None
        is_slot_reserved = self._can_lost_order_apply(report, now)
        needs_slot = (
            is_slot_reserved or wanted.adapter not in report.models[wanted.model]
        )
        usable_slots = engine.adapter_slots - is_slot_reserved
        if needs_slot and self._count_slots(report) >= usable_slots:
            return self._choose_eviction(report, now)
        return Order(
            OrderKind.LOAD,
            wanted.model,
            wanted.adapter,
            wanted.version,
            report.orders,
        )

    def _can_lost_order_apply(self, report, now):
        """Whether a lost order could be carried out after the next one.

        A replica that restarted counts its orders anew, so an order lost before may
        find the count that it expects. A place is kept free for that moment.
        """
        for key, expires in list(self._lost_orders.items()):
            if now > expires:
                del self._lost_orders[key]
        return any(
            born != report.born and expected == report.orders + 1
            for born, expected in self._lost_orders
        )

    @staticmethod
    def _choose_model(report, engine):
        for model in engine.models:
            if model.size_megabytes <= engine.memory_megabytes:
                return Order(OrderKind.LOAD, model.name, None, 0, report.orders)
        return None

    def _choose_wanted(self, report, now):
        wishes = sorted(
            self._load_requests.items(), key=lambda each: each[1].first_wanted
        )
        for wanted, load_request in wishes:
            pending_version = report.pending.get(f"{wanted.model}/{wanted.adapter}", -1)
            if _is_satisfied(report, wanted) or now > max(
                load_request.expires.values()
            ):
                del self._load_requests[wanted]
            elif pending_version < wanted.version:
                return wanted
        return None

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
    """Whether there is nothing to load for a WantedAdapter."""
    held = report.models.get(wanted.model)
    return held is None or held.get(wanted.adapter, -1) >= wanted.version
