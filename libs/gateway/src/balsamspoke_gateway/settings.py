"""Settings of the gateway: the identity of the process and the bounds it must keep."""

from dataclasses import dataclass, field
from datetime import timedelta

from .quotas import QuotaTolerance


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Identity of this process and bounds that the deployment sets.

    Attributes
    ----------
    vm : str
        Name of the VM that this process runs on.
    ip : str
        IP address of this process, by which peers and side processes identify it.
    failure_domain : str
        Failure domain of the VM; replicas in the same one are preferred.
    retry_ratio : float
        Retries that the fleet may send in any ``retry_window``, as a fraction of the
        requests in that window.
    retry_extra : float
        Retries that the fleet may send in any ``retry_window`` beyond that fraction.
    retry_window : timedelta
        Length of the sliding window of the retry budget.
    drain_time : timedelta
        Longest time in which a leaving replica may still get new requests.
    configuration_time : timedelta
        Longest time until an accepted configuration is in force.
    version_time : timedelta
        Longest time in which requests may still start on an adapter's older version
        after a newer one was announced.
    stop_grace : timedelta
        Time between the request to stop this process and its kill.
    quota_tolerance : QuotaTolerance
        How far the entry processes together may exceed a team's limit.
    domain_drain_time : timedelta or None
        Longest time in which the replicas of a failure domain may still get requests
        after the operator has drained it; None if operators don't drain domains.
    is_first_start : bool
        Whether the whole system starts for the first time.
    heartbeat_interval : timedelta
        Time between two writes of a replica's entry in the store. An entry expires
        after three such intervals without a write.
    calm_time : timedelta
        Time without disturbances after which the bounds hold again.
    """

    vm: str
    ip: str
    failure_domain: str
    retry_ratio: float = 0.2
    retry_extra: float = 20.0
    retry_window: timedelta = timedelta(seconds=10)
    drain_time: timedelta = timedelta(seconds=2)
    configuration_time: timedelta = timedelta(seconds=2)
    version_time: timedelta = timedelta(seconds=5)
    stop_grace: timedelta = timedelta(seconds=8)
    quota_tolerance: QuotaTolerance = field(default_factory=QuotaTolerance)
    domain_drain_time: timedelta | None = None
    is_first_start: bool = False
    heartbeat_interval: timedelta = timedelta(seconds=1.2)
    calm_time: timedelta = timedelta(seconds=3)
