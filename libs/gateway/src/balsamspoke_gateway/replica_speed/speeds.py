"""Speeds of the replicas, as one entry process knows them."""

import math
import statistics
from datetime import timedelta

from .estimate import SlowdownEstimate
from .usual import UsualDurations

# Shortest duration that is compared; the clock measures no shorter ones.
MIN_DURATION = timedelta(milliseconds=1)
# Ages of what was stated are bounded to this; older statements say nothing.
MAX_AGE = timedelta(seconds=10)
# Time for which the median of a service's replicas is kept.
CENTER_LIFETIME = timedelta(milliseconds=250)


class _ServiceSpeeds:
    """Estimates of the replicas of one service, with their median."""

    def __init__(self):
        self.estimates = {}
        self.is_stated = False
        self._center = 0.0
        self._computed_at = None

    def find_center(self, now):
        """Return the logarithm of what is learned of the replicas in general.

        Those without samples don't count: a fault elsewhere shows in all others alike.
        """
        computed_at = self._computed_at
        if computed_at is None or now - computed_at >= CENTER_LIFETIME:
            known = [each.find_learned_log(now) for each in self.estimates.values()]
            learned = [each for each in known if each is not None]
            self._center = statistics.median(learned) if learned else 0.0
            self._computed_at = now
        return self._center


class ReplicaSpeeds:
    """Track how long work takes at each replica, by the start of the replica.

    A replica of which nothing was stated or learned counts as the usual. What answers
    show is compared with the median of the service's replicas: where all are slow at
    once, the fault is elsewhere, such as in the network or in this process.
    """

    def __init__(self):
        self._services = {}
        self._usual = UsualDurations()

    def record_stated(self, record, slowdown, stated_at):
        """Record the slowdown that a replica stated at a monotonic time."""
        service, estimate = self._find_or_create(record)
        service.is_stated = True
        estimate.record_stated(slowdown, stated_at)

    def record_duration(self, record, kind, duration, now, shows_present=True):
        """Record how long a replica took for work of some kind.

        Parameters
        ----------
        record : ReplicaRecord
            The replica.
        kind : hashable
            Kind of the work; durations of one kind are comparable.
        duration : timedelta
            How long it took.
        now : timedelta
            Monotonic time.
        shows_present : bool
            Whether it shows how fast the replica is at the moment, rather than how
            much it had to do before.
        """
        service, estimate = self._find_or_create(record)
        seconds = max(MIN_DURATION, duration).total_seconds()
        slowdown_log = estimate.find_log(service.find_center(now), now)
        ratio_log = self._usual.compare(kind, seconds, slowdown_log)
        if ratio_log is not None:
            estimate.record_sample(ratio_log, now, shows_present)

    def merge(self, record, learned, now):
        """Take over a LearnedSlowdown of another process."""
        service, estimate = self._find_or_create(record)
        estimate.merge(learned, service.find_center(now), now)

    def record_report(self, record, state, now):
        """Record what a ReplicaState of an engine's side process tells of its speed."""
        service, estimate = self._find_or_create(record)
        center = service.find_center(now)
        if state.learned_slowdown is not None:
            estimate.merge(state.learned_slowdown, center, now)
        if state.recent_slowdown is not None:
            estimate.adopt_recent(state.recent_slowdown, center, now)
        stated = state.stated_slowdown
        if stated is not None:
            # The order of the arguments makes an age that is not a number zero.
            age = min(MAX_AGE.total_seconds(), max(0.0, stated.age))
            estimate.record_stated(stated.slowdown, now - timedelta(seconds=age))

    def find_slowdown(self, record, now):
        """Return the time that work takes at a replica, in units of the usual time."""
        service, estimate = self._find(record)
        if estimate is None:
            return 1.0
        return math.exp(estimate.find_log(service.find_center(now), now))

    def find_rule(self, record, now):
        """Return the slowdown of a replica as a rule; None if none is known."""
        service, estimate = self._find(record)
        if estimate is None:
            return None
        return estimate.find_rule(service.find_center(now), now)

    def find_usual_duration(self, kind):
        """Return the usual timedelta of a kind of work; None if not known yet."""
        seconds = self._usual.find(kind)
        return None if seconds is None else timedelta(seconds=seconds)

    def is_stated(self, service):
        """Return whether any replica of a service has stated a slowdown."""
        service = self._services.get(service)
        return service is not None and service.is_stated

    def has_stated(self, record):
        """Return whether a replica has stated a slowdown since its start."""
        _, estimate = self._find(record)
        return estimate is not None and estimate.has_stated

    def describe_learned(self, record, now):
        """Return the LearnedSlowdown of a replica, for other processes, or None."""
        service, estimate = self._find(record)
        if estimate is None:
            return None
        return estimate.describe_learned(service.find_center(now), now)

    def take_recent_samples(self, record, now):
        """Return the RecentSamples of a replica since the last call, or None."""
        service, estimate = self._find(record)
        if estimate is None:
            return None
        return estimate.take_recent_samples(service.find_center(now))

    def retain(self, starts):
        """Forget all replicas but the given ones (by id and start time)."""
        for service in self._services.values():
            for key in [key for key in service.estimates if key not in starts]:
                del service.estimates[key]
            service.is_stated = any(
                each.has_stated for each in service.estimates.values()
            )

    def _find(self, record):
        """Return the _ServiceSpeeds and SlowdownEstimate of a replica, or None."""
        service = self._services.get(record.service)
        if service is None:
            return None, None
        return service, service.estimates.get((record.id, record.born))

    def _find_or_create(self, record):
        service = self._services.get(record.service)
        if service is None:
            service = self._services[record.service] = _ServiceSpeeds()
        key = (record.id, record.born)
        estimate = service.estimates.get(key)
        if estimate is None:
            estimate = service.estimates[key] = SlowdownEstimate()
        return service, estimate
