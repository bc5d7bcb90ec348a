"""Settings of the fleet membership."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Intervals, timeouts and message sizes of the membership.

    Attributes
    ----------
    probe_interval : timedelta
        Time between two rounds of heartbeats.
    probes : int
        Peers that receive a heartbeat in one round, besides those that have left an
        earlier one unanswered.
    statuses : int
        Most statuses of other processes that one message relays.
    relay_max_age : timedelta
        Largest age of the last direct message from a process whose status is relayed.
        The status of a process that recently announced that it will stop is relayed
        regardless of age.
    suspect_after : timedelta
        Time for which a peer leaves heartbeats unanswered before it is suspect.
    list_interval : timedelta
        Time between two requests of the VM list.
    list_timeout : timedelta
        Time after which an unanswered request of the VM list is abandoned and the next
        one may be sent.
    missing_margin : timedelta
        Time for which a VM must be missing from the VM list to count as gone; also the
        time for which a leaving process is relayed ahead of other statuses.
    leaving_repeats : int
        Rounds in which the announcement that this process leaves is repeated to all
        connected peers.
    """

    probe_interval: timedelta = timedelta(seconds=1)
    probes: int = 4
    statuses: int = 8
    relay_max_age: timedelta = timedelta(seconds=5)
    suspect_after: timedelta = timedelta(seconds=3)
    list_interval: timedelta = timedelta(seconds=2)
    list_timeout: timedelta = timedelta(seconds=10)
    missing_margin: timedelta = timedelta(seconds=30)
    leaving_repeats: int = 4
