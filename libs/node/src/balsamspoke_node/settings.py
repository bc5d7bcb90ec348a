"""Settings of the node cores."""

from dataclasses import dataclass, field
from datetime import timedelta

from balsamspoke_catalogue import CatalogueSettings
from balsamspoke_limits import BudgetSettings
from balsamspoke_membership import MembershipSettings
from balsamspoke_replica import ReplicaSettings
from balsamspoke_routing import AttemptSettings, DirectorySettings, LedgerSettings


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of an entry process.

    Attributes
    ----------
    first_token_timeout : timedelta
        A request that has no token by then is given up.
    maximum_body_bytes : int
        Larger requests are refused.
    watchers_per_domain : int
        Entry processes in each failure domain that watch the object API.
    others_wait : timedelta
        Longest time for which a fresh process isn't ready since it knows no
        replica of some service, or not every entry process, that the VM list shows.
    readiness_grace : timedelta
        How long new requests are still taken after readiness went off, so that
        the balancer can notice.
    stop_timeout : timedelta
        Longest wait for running requests in a planned stop.
    kept_explanations : int
        Ended requests that ``explain`` knows of.
    """

    first_token_timeout: timedelta = timedelta(seconds=20)
    maximum_body_bytes: int = 1_000_000
    watchers_per_domain: int = 2
    others_wait: timedelta = timedelta(seconds=5)
    readiness_grace: timedelta = timedelta(seconds=5)
    stop_timeout: timedelta = timedelta(minutes=5)
    kept_explanations: int = 2000
    budgets: BudgetSettings = field(default_factory=BudgetSettings)
    catalogue: CatalogueSettings = field(default_factory=CatalogueSettings)
    membership: MembershipSettings = field(default_factory=MembershipSettings)
    attempts: AttemptSettings = field(default_factory=AttemptSettings)
    directory: DirectorySettings = field(default_factory=DirectorySettings)
    ledger: LedgerSettings = field(default_factory=LedgerSettings)


@dataclass(frozen=True, slots=True)
class SideSettings:
    """Settings of a side process.

    Attributes
    ----------
    leaving_grace : timedelta
        Least time of a planned stop, in which orders that were on their way are
        refused as not run.
    last_messages_time : timedelta
        Between the last answer and the end, so that it can be sent.
    """

    leaving_grace: timedelta = timedelta(seconds=2)
    last_messages_time: timedelta = timedelta(milliseconds=200)
    catalogue: CatalogueSettings = field(default_factory=CatalogueSettings)
    membership: MembershipSettings = field(default_factory=MembershipSettings)
    replica: ReplicaSettings = field(default_factory=ReplicaSettings)
