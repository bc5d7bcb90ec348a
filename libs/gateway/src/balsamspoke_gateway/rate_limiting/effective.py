"""The limit that holds for a replica now, from what is known of it."""

from dataclasses import dataclass
from datetime import timedelta

from ..exceptions import NO_DELAY
from .permits import BURST_TIME

# A cold replica counts the requests of each second, so permits saved for longer would
# come on top of those of a whole second.
COLD_BURST_TIME = timedelta(milliseconds=200)
# Time after the first list of replicas in which a process doesn't rely on its own
# knowledge. By then its peers have told it of cold replicas, and these have written to
# the store again.
LEARNING_TIME = timedelta(seconds=2)


@dataclass(frozen=True, slots=True)
class EffectiveLimit:
    """Limit on the requests to one replica from all processes together.

    Attributes
    ----------
    rate : float
        Requests a second.
    is_cold : bool
        Whether the limit is that of a cold replica, which holds in each second.
    is_assumed : bool
        Whether the process has just started, and the replica may have no limit.
    is_partial : bool
        Whether it is the part of a process that isn't the first choice as issuer.
    """

    rate: float
    is_cold: bool = False
    is_assumed: bool = False
    is_partial: bool = False

    @property
    def burst_time(self):
        """Time in which the permits accumulate that may be used at once."""
        if self.is_partial:
            return NO_DELAY
        return COLD_BURST_TIME if self.is_cold else BURST_TIME

    def combine(self, other):
        """Return the stricter of this limit and another one, or None, of a replica."""
        if other is None:
            return self
        return EffectiveLimit(
            min(self.rate, other.rate),
            self.is_cold or other.is_cold,
            self.is_assumed and other.is_assumed,
        )


class LimitFinder:
    """Find the limit that holds for a replica now.

    It is the lower one of what the replica has named and what its service's cold
    replicas take.

    Parameters
    ----------
    context : GatewayContext
        Ports and state of the process.
    named : ReplicaRateLimits
        Limits that replicas have named.
    cold : ColdReplicas
        Replicas that are cold.
    """

    def __init__(self, context, named, cold):
        self._context = context
        self._named = named
        self._cold = cold
        self._learns_until = None

    def begin_to_learn(self):
        """Record that the first list of replicas and a configuration were read."""
        self._learns_until = self._context.clock.monotonic() + LEARNING_TIME

    def find(self, record):
        """Return the EffectiveLimit of a replica (ReplicaRecord), or None."""
        named = self._named.find_rate(record)
        cold = self._find_cold(record)
        if named is None:
            return cold
        return EffectiveLimit(named).combine(cold)

    def find_time_left(self, record):
        """Return the time after which a replica's limit ends; None if not known."""
        if self._named.find_rate(record) is not None:
            return None
        now = self._context.clock.monotonic()
        cold_left = self._cold.find_time_left(record, now)
        if cold_left is None and self._learns_until is not None:
            return max(NO_DELAY, self._learns_until - now)
        return cold_left

    def find_cold_service(self, record):
        """Return the Service of a replica if it limits cold ones; else None."""
        configuration = self._context.configuration
        if configuration is None:
            return None
        service = configuration.find_service(record.service)
        if service is None or not service.limits_cold_replicas:
            return None
        return service

    def _find_cold(self, record):
        service = self.find_cold_service(record)
        if service is None:
            return None
        now = self._context.clock.monotonic()
        if self._cold.find_time_left(record, now) is not None:
            return EffectiveLimit(service.cold_rate, is_cold=True)
        if self._learns_until is not None and now < self._learns_until:
            return EffectiveLimit(service.cold_rate, is_cold=True, is_assumed=True)
        return None
