"""Settings of the membership."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Intervals and margins of the membership.

    Attributes
    ----------
    probe_interval : timedelta
        Between two rounds of heartbeats.
    probes : int
        Peers that one round probes, besides those that owe an answer.
    statuses : int
        Statuses of others that one heartbeat passes on.
    recent : timedelta
        Others' statuses are passed on if they were heard directly so lately.
    suspect_after : timedelta
        A peer is suspect when probes go unanswered for so long.
    list_interval : timedelta
        Between two readings of the VM list.
    list_timeout : timedelta
        After which a reading that doesn't come is given up.
    missing_margin : timedelta
        A VM may be missing from the VM list for so long before it counts.
    leaving_repeats : int
        Rounds in which the own leaving is told to all connected peers.
    """

    probe_interval: timedelta = timedelta(seconds=1)
    probes: int = 4
    statuses: int = 8
    recent: timedelta = timedelta(seconds=5)
    suspect_after: timedelta = timedelta(seconds=3)
    list_interval: timedelta = timedelta(seconds=2)
    list_timeout: timedelta = timedelta(seconds=10)
    missing_margin: timedelta = timedelta(seconds=30)
    leaving_repeats: int = 4
