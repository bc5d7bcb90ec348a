"""Speed of an engine, at the side process on its VM."""

from dataclasses import replace

from .estimate import SlowdownEstimate


class EngineSpeed:
    """Collect what entry processes learn of an engine's speed, and tell them all of it.

    Each entry process sees few events of one engine, too few to notice within a second
    that it has turned slow.
    """

    def __init__(self):
        self._estimate = SlowdownEstimate()
        self._born = None
        self._told_entries = set()

    def receive_demand(self, ip, demand, now):
        """Add what the EntryDemand of the entry process at an IP address tells."""
        if demand.learned_slowdown is not None:
            self._told_entries.add(ip)
            self._estimate.merge(demand.learned_slowdown, 0.0, now)
        if demand.recent_samples is not None:
            self._estimate.record_recent_samples(demand.recent_samples, now)

    def record_report(self, report, now):
        """Record what the engine states; forget what is known of its last start."""
        if report.born != self._born:
            self._born = report.born
            self._estimate = SlowdownEstimate()
        if report.slowdown is not None:
            self._estimate.record_stated(report.slowdown, now)

    def add_to_state(self, state, ip, is_new, now):
        """Return a ReplicaState with the speed, for the entry process at an IP address.

        The rule is told to an entry process that is new or has told its own.
        """
        learned = None
        if is_new or ip in self._told_entries:
            self._told_entries.discard(ip)
            learned = self._estimate.describe_learned(0.0, now)
        return replace(
            state,
            learned_slowdown=learned,
            recent_slowdown=self._estimate.describe_recent(now),
            stated_slowdown=self._estimate.describe_stated(now),
        )

    def retain(self, ips):
        """Forget all entry processes but the given ones (by IP address)."""
        self._told_entries &= set(ips)
