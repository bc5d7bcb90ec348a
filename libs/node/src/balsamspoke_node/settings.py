"""Settings of the entry and side process cores."""

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
        A generation without its first token after this time is refused.
    maximum_body_bytes : int
        Requests with a longer body are refused.
    watchers_per_domain : int
        Number of entry processes in each failure domain that watch the object API.
    startup_timeout : timedelta
        Time after the start at which the process becomes ready even if it has no
        usable replica of some service in the VM list, or no connection to some entry
        process in it.
    readiness_grace : timedelta
        How long a stopping process that reports itself not ready still admits new
        requests, so that the load balancer can take it out of rotation.
    stop_timeout : timedelta
        Longest wait for running requests in a planned stop, after
        ``readiness_grace``.
    maximum_explanations : int
        Number of ended requests kept for ``balsamspokectl explain``.
    budgets : BudgetSettings
        Settings of the team budgets.
    catalogue : CatalogueSettings
        Settings of the catalogue synchronizer.
    membership : MembershipSettings
        Settings of the heartbeats and of the polling of the VM list.
    attempts : AttemptSettings
        Settings of the attempt runner.
    directory : DirectorySettings
        Settings of the replica directory.
    ledger : LedgerSettings
        Settings of the idempotency records and their sweeper.
    """

    first_token_timeout: timedelta = timedelta(seconds=20)
    maximum_body_bytes: int = 1_000_000
    watchers_per_domain: int = 2
    startup_timeout: timedelta = timedelta(seconds=5)
    readiness_grace: timedelta = timedelta(seconds=5)
    stop_timeout: timedelta = timedelta(minutes=5)
    maximum_explanations: int = 2000
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
    minimum_drain_time : timedelta
        Shortest duration of a planned stop. Requests that were in transit when it
        started arrive within this time and are refused as not run.
    flush_time : timedelta
        Time between the last answer and the end of a planned stop, in which the
        answer is sent.
    catalogue : CatalogueSettings
        Settings of the catalogue synchronizer.
    membership : MembershipSettings
        Settings of the heartbeats and of the polling of the VM list.
    replica : ReplicaSettings
        Settings of the engine's or plain service's replica.
    """

    minimum_drain_time: timedelta = timedelta(seconds=2)
    flush_time: timedelta = timedelta(milliseconds=200)
    catalogue: CatalogueSettings = field(default_factory=CatalogueSettings)
    membership: MembershipSettings = field(default_factory=MembershipSettings)
    replica: ReplicaSettings = field(default_factory=ReplicaSettings)
