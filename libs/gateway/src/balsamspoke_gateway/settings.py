"""Settings of the gateway's decisions, as the deployment bounds them."""

from dataclasses import dataclass, field
from datetime import timedelta

from .quotas import QuotaTolerance


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """What the deployment says of this process and of the bounds in force.

    Attributes
    ----------
    vm : str
        Name of this process's VM.
    ip, failure_domain : str
        Where it is.
    retry_ratio, retry_extra : float
        Second attempts that the fleet may make in any ``retry_window``: this part
        of the requests, and so many more.
    retry_window : timedelta
        Length of that window.
    drain_time : timedelta
        How soon a leaving replica gets no more requests.
    configuration_time : timedelta
        How soon an accepted configuration is in force.
    version_time : timedelta
        How soon requests no longer begin on an adapter's older version.
    stop_grace : timedelta
        From the request to stop to the kill.
    quota_tolerance : QuotaTolerance
        How far the fleet may miss a team's limit.
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
