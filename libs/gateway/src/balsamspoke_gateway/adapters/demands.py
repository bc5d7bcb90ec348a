"""Demand for adapters at each replica from the requests of this entry process."""

from collections import Counter
from datetime import timedelta

from twisted.internet.defer import Deferred

from ..exceptions import AnswerOverdue
from ..messages import EntryDemand, WantedAdapter


class _ReplicaDemand:
    def __init__(self):
        self.waiting = {}
        self.preloads = {}
        self.running = Counter()
        self.recently_used = set()
        self.late_events = 0
        self.max_event_interval = timedelta(0)


class AdapterDemands:
    """Collect the demand for adapters, and resume requests whose adapter is loaded.

    A side process is sent the whole demand at regular intervals, so that a lost message
    or a restart of the side process costs one interval.
    """

    def __init__(self):
        self._replicas = {}

    def wait_for(self, replica_id, wanted, due):
        """Return a Deferred of None that fires once a replica holds a WantedAdapter.

        Parameters
        ----------
        replica_id : str
            Id of the replica.
        wanted : WantedAdapter
            The adapter.
        due : timedelta
            Monotonic time until which the load has to begin if the request is to meet
            its latency objective.
        """
        demand = self._find(replica_id)
        waiting = demand.waiting.setdefault(wanted, {})

        def remove_waiter(waiter):
            del waiting[waiter]
            if not waiting and demand.waiting.get(wanted) is waiting:
                del demand.waiting[wanted]

        waiter = Deferred(remove_waiter)
        waiting[waiter] = due
        return waiter

    def record_state(self, replica_id, models):
        """Resume the requests whose adapter a replica holds.

        Parameters
        ----------
        replica_id : str
            Id of the replica.
        models : dict
            Versions of the adapters that it holds, by model and adapter name.
        """
        demand = self._replicas.get(replica_id)
        if demand is None:
            return
        for wanted in list(demand.waiting):
            held = models.get(wanted.model, {}).get(wanted.adapter, -1)
            if held >= wanted.version:
                for waiter in demand.waiting.pop(wanted):
                    waiter.callback(None)

    def abandon(self, replica_id):
        """End all waits at a replica, as if they had timed out, and all preloads."""
        demand = self._replicas.get(replica_id)
        if demand is None:
            return
        demand.preloads.clear()
        for wanted in list(demand.waiting):
            for waiter in demand.waiting.pop(wanted):
                waiter.errback(AnswerOverdue())

    def preload(self, replica_id, wanted):
        """Ask a replica for a WantedAdapter for which no request waits yet."""
        self._find(replica_id).preloads[wanted] = None

    def end_preload(self, replica_id, wanted):
        """Take back what ``preload`` has asked for."""
        self._find(replica_id).preloads.pop(wanted, None)

    def record_start(self, replica_id, target):
        """Record that a request for an AdapterName is sent to a replica."""
        if target.adapter is not None:
            demand = self._find(replica_id)
            demand.running[target.adapter] += 1
            demand.recently_used.add(target.adapter)

    def record_end(self, replica_id, target):
        """Record that a request for an AdapterName at a replica has ended."""
        if target.adapter is not None:
            demand = self._find(replica_id)
            demand.running[target.adapter] -= 1
            if demand.running[target.adapter] <= 0:
                del demand.running[target.adapter]

    def record_late_event(self, replica_id, limit):
        """Record a late event of a stream at a replica, and its route's limit."""
        demand = self._find(replica_id)
        shortest = (
            min(limit, demand.max_event_interval) if demand.late_events else limit
        )
        demand.max_event_interval = shortest
        demand.late_events += 1

    def make_message(self, replica_id, load, interval, now):
        """Return the EntryDemand for a replica.

        Parameters
        ----------
        replica_id : str
            Id of the replica.
        load : ReplicaLoad
            Load of the replica as seen by this process.
        interval : timedelta
            Time until the next message.
        now : timedelta
            Monotonic time.
        """
        demand = self._find(replica_id)
        in_use = demand.recently_used | set(demand.running)
        demand.recently_used.clear()
        late_events, max_event_interval = demand.late_events, demand.max_event_interval
        demand.late_events = 0
        urgent = [
            wanted
            for wanted, waiting in demand.waiting.items()
            if max(waiting.values()) >= now
        ]
        return EntryDemand(
            tuple({**demand.waiting, **demand.preloads}),
            tuple(sorted(in_use)),
            load.in_flight,
            load.unread_tokens,
            interval.total_seconds(),
            late_events,
            max_event_interval.total_seconds(),
            tuple(urgent),
            unread_prompts=load.unread_prompts.list(),
        )

    def _find(self, replica_id):
        demand = self._replicas.get(replica_id)
        if demand is None:
            demand = self._replicas[replica_id] = _ReplicaDemand()
        return demand


def make_wanted_adapter(target, version):
    """Return the WantedAdapter of an AdapterName and its oldest usable version."""
    return WantedAdapter(target.model, target.adapter, version)
