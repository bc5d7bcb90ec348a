"""State and ports that all requests of one entry process share."""

import random
from dataclasses import dataclass, field
from datetime import timedelta

from balsamspoke_types.ports import Clock
from twisted.internet.defer import CancelledError

from .admission_client import AdmissionClient
from .configuration import Configuration
from .demands import AdapterDemands
from .fleet import Fleet
from .observing import Observer, ProgramFailed
from .pacing import MIN_INTERVAL
from .popularity import AdapterPopularity
from .ports import PeerSender, ReplicaClient
from .prompt_prefixes import PrefixTracker
from .quarantine import QuarantineCoordinator
from .quotas import TeamQuotas
from .retries import RetryBudget
from .settings import GatewaySettings
from .startup import StartupGate
from .versions import AdapterVersions


@dataclass(slots=True)
class GatewayContext:
    """Shared state and ports of an entry process.

    Attributes
    ----------
    settings : GatewaySettings
        Identity of the process and bounds.
    clock : Clock
        Source of monotonic time and of timers.
    client : ReplicaClient
        Sends requests to replicas.
    peers : PeerSender
        Sends messages to side processes and other entry processes.
    observer : Observer
        Receives the events of the process.
    fleet : Fleet
        State of the replicas.
    draw : callable
        Returns a random number in [0, 1).
    demands : AdapterDemands
        Adapters that requests wait for or use, by replica.
    quotas : TeamQuotas
        Token limits of the teams.
    versions : AdapterVersions
        Announced versions of adapters.
    prefix_tracker : PrefixTracker
        Prompt prefixes that replicas have read.
    popularity : AdapterPopularity
        Request rates of adapters.
    admission_client : AdmissionClient
        Requests the admission of prompts at side processes.
    quarantine : QuarantineCoordinator
        Refuses prompts that crash replicas.
    startup : StartupGate
        Holds requests until the process knows its configuration, replicas and peers.
    configuration : Configuration or None
        Configuration in force; None until the first one was read.
    processes : int
        Entry processes that share the fleet's budgets, including this one.
    demand_interval : timedelta
        Time between messages to each side process.
    is_stopping : bool
        Whether the process is about to end.
    is_refusing : bool
        Whether new requests are refused.
    retry_budgets : dict
        RetryBudgets by service name.
    """

    settings: GatewaySettings
    clock: Clock
    client: ReplicaClient
    peers: PeerSender
    observer: Observer
    fleet: Fleet
    draw: object = field(default_factory=lambda: random.Random().random)
    demands: AdapterDemands = field(default_factory=AdapterDemands)
    quotas: TeamQuotas = field(init=False)
    versions: AdapterVersions = field(default_factory=AdapterVersions)
    prefix_tracker: PrefixTracker = field(default_factory=PrefixTracker)
    popularity: AdapterPopularity = field(default_factory=AdapterPopularity)
    admission_client: AdmissionClient = field(init=False)
    quarantine: QuarantineCoordinator = field(init=False)
    startup: StartupGate = field(init=False)
    configuration: Configuration | None = None
    processes: int = 1
    demand_interval: timedelta = MIN_INTERVAL
    is_stopping: bool = False
    is_refusing: bool = False
    retry_budgets: dict[str, RetryBudget] = field(default_factory=dict)

    def __post_init__(self):
        self.quotas = TeamQuotas(self.settings.quota_tolerance)
        self.admission_client = AdmissionClient(self.clock, self.peers, self.draw)
        self.quarantine = QuarantineCoordinator(self)
        self.startup = StartupGate(self.clock)

    def find_retry_budget(self, service):
        """Return the RetryBudget of a service; it is created on first use."""
        budget = self.retry_budgets.get(service)
        if budget is None:
            settings = self.settings
            budget = RetryBudget(
                settings.retry_ratio, settings.retry_extra, settings.retry_window
            )
            self.retry_budgets[service] = budget
        return budget

    def send_demand(self, record):
        """Send the demand at a replica to its side process."""
        load = self.fleet.find_load(record.id)
        message = self.demands.make_message(
            record.id, load, self.demand_interval, self.clock.monotonic()
        )
        self.peers.send(record.ip, message)

    def report_bug(self, failure):
        """Report an unhandled Failure; cancellations are ignored."""
        if failure.check(CancelledError):
            return
        self.observer.observe(ProgramFailed(failure.getTraceback()))
