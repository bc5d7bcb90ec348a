"""Adapters that only a drained failure domain holds, loaded elsewhere in advance."""

from dataclasses import dataclass
from datetime import timedelta

from ..adapters.demands import make_wanted_adapter
from ..adapters.plan import MAX_PENDING_ADAPTERS
from ..exceptions import NO_DELAY
from ..messages import WantedAdapter
from ..observing import PreloadStarted
from ..requests import AdapterName
from .targets import CandidateLists, choose_replica

# Requests a second, estimated over all entry processes, from which an adapter is loaded
# before the next one: it is requested again within seconds.
MIN_RATE = 0.1
# Time after the drain in which adapters are loaded in advance. Whatever is in demand
# has been requested by then.
PRELOAD_TIME = timedelta(seconds=5)
# Interval in which further adapters are ordered; about that of the replicas' reports.
ORDER_INTERVAL = timedelta(milliseconds=200)
# Adapters placed before requests and messages get their turn: each ranks all replicas.
PLACED_AT_ONCE = 20


@dataclass(frozen=True, slots=True)
class Preload:
    """An adapter that is in demand in a drained failure domain.

    Attributes
    ----------
    domain : str
        Name of the failure domain.
    service : str
        Service of the replicas that hold it.
    target : AdapterName
        The adapter.
    rate : float
        Requests a second, estimated over all entry processes.
    """

    domain: str
    service: str
    target: AdapterName
    rate: float


@dataclass(frozen=True, slots=True)
class _Order:
    preload: Preload
    replica: str
    wanted: WantedAdapter


class AdapterPreloader:
    """Order adapters that are in demand at replicas outside of a drained domain.

    This handles the moments after a drain: the adapters of a whole failure domain would
    be loaded only as requests wait for them, all at once, and many would be late. The
    most requested ones are ordered first, a few at a time at each replica, behind the
    loads that requests wait for.

    Parameters
    ----------
    context : GatewayContext
        Ports and state of the process.
    """

    def __init__(self, context):
        self._context = context
        self._clock = context.clock
        self._ends_at = {}
        self._unplaced = []
        self._waiting = {}
        self._orders = {}
        self._is_scheduled = False

    def begin(self, domain, records):
        """Order what is in demand at the replicas (ReplicaRecords) of a domain."""
        now = self._clock.monotonic()
        preloads = self._list_preloads(domain, records, now)
        if preloads:
            self._ends_at[domain] = now + PRELOAD_TIME
            self._context.observer.observe(PreloadStarted(domain, len(preloads)))
        for record in records:
            preloads += self._recall(record.id)
        self._unplaced += preloads
        self._unplaced.sort(key=lambda each: each.rate, reverse=True)
        self._place()
        self._schedule()

    def end(self, domain):
        """Take back what was ordered for a domain, which is drained no longer."""
        if self._ends_at.pop(domain, None) is None:
            return
        self._unplaced = [each for each in self._unplaced if each.domain != domain]
        for replica, waiting in self._waiting.items():
            self._waiting[replica] = [
                each for each in waiting if each.preload.domain != domain
            ]
        self._end_orders(lambda order: order.preload.domain == domain)

    def record_state(self, record):
        """Take back the orders that the latest report of a ReplicaRecord shows met.

        As long as an adapter is wanted that it holds, the side process sends a state
        after each report.
        """
        if record.id in self._orders:
            self._end_orders_at(record.id, self._is_done)

    def _list_preloads(self, domain, records, now):
        rates = {}
        for record in records:
            for target in self._list_adapters(record):
                rate = self._context.popularity.find_rate(target, now)
                rate *= self._context.processes
                if rate >= MIN_RATE:
                    rates[record.service, target] = rate
        return [Preload(domain, *key, rate) for key, rate in rates.items()]

    def _list_adapters(self, record):
        """Return the AdapterNames that a replica holds, by its latest report."""
        state = self._context.fleet.find_state(record)
        if state is None:
            models = {each.name: each.adapters for each in record.models}
        else:
            models = state.models
        return [
            AdapterName(model, adapter)
            for model, adapters in models.items()
            for adapter in adapters
        ]

    def _recall(self, replica):
        """Return the preloads that were meant for a replica, to place them anew."""
        orders = self._waiting.pop(replica, [])
        orders += self._orders.get(replica, {}).values()
        self._end_orders_at(replica, lambda order: True)
        return [each.preload for each in orders]

    def _schedule(self):
        is_busy = self._unplaced or self._orders or any(self._waiting.values())
        if is_busy and not self._is_scheduled:
            self._is_scheduled = True
            delay = NO_DELAY if self._unplaced else ORDER_INTERVAL
            self._clock.call_later(delay, self._continue)

    def _continue(self):
        self._is_scheduled = False
        now = self._clock.monotonic()
        for domain in [each for each, end in self._ends_at.items() if now >= end]:
            self.end(domain)
        self._end_orders(self._is_done)
        self._place()
        self._schedule()

    def _end_orders(self, is_ended):
        for replica in list(self._orders):
            self._end_orders_at(replica, is_ended)

    def _end_orders_at(self, replica, is_ended):
        """Take back the orders at a replica for which a function returns True."""
        orders = self._orders.get(replica, {})
        ended = [wanted for wanted, order in orders.items() if is_ended(order)]
        for wanted in ended:
            del orders[wanted]
            self._context.demands.end_preload(replica, wanted)
        if not orders:
            self._orders.pop(replica, None)
        if ended:
            self._send_demand(replica)

    def _is_done(self, order):
        record = self._context.fleet.directory.find(order.replica)
        if record is None or not self._context.fleet.is_available(record):
            return True
        held = self._context.fleet.find_held(record, order.wanted.model) or {}
        return held.get(order.wanted.adapter, -1) >= order.wanted.version

    def _place(self):
        """Choose replicas for some adapters, and order what they have room for."""
        candidates = CandidateLists(self._context.fleet)
        placed = self._unplaced[:PLACED_AT_ONCE]
        del self._unplaced[:PLACED_AT_ONCE]
        for preload in placed:
            version = self._context.versions.find(preload.target)
            try:
                listed = candidates.find(preload)
                replica = choose_replica(preload.target, version, listed)
            except LookupError:
                continue
            wanted = make_wanted_adapter(preload.target, version)
            order = _Order(preload, replica, wanted)
            self._waiting.setdefault(replica, []).append(order)
        for replica in list(self._waiting):
            self._fill(replica, candidates)

    def _fill(self, replica, candidates):
        """Order as many of the adapters that wait for a replica as it has room for."""
        orders = self._orders.setdefault(replica, {})
        waiting = self._waiting.pop(replica)
        is_changed = False
        while waiting and len(orders) < MAX_PENDING_ADAPTERS:
            order = waiting.pop(0)
            if candidates.hold(order.preload, order.wanted):
                continue
            is_changed |= order.wanted not in orders
            orders[order.wanted] = order
            self._context.demands.preload(replica, order.wanted)
        if waiting:
            self._waiting[replica] = waiting
        if not orders:
            del self._orders[replica]
        if is_changed:
            self._send_demand(replica)

    def _send_demand(self, replica):
        record = self._context.fleet.directory.find(replica)
        if record is not None:
            self._context.send_demand(record)
