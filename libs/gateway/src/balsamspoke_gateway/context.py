"""State and ports that all requests of one entry process share."""

import random
from dataclasses import dataclass, field
from datetime import timedelta

from balsamspoke_types.ports import Clock
from twisted.internet.defer import CancelledError

from .adapters.demands import AdapterDemands
from .adapters.popularity import AdapterPopularity
from .adapters.versions import AdapterVersions
from .admission.client import AdmissionClient
from .buffering import ReceiveBudget
from .configuration import Configuration
from .drained_domains import DrainedDomainsCoordinator
from .fleet.fleet import Fleet
from .forwarding.retry_budget import RetryBudget
from .forwarding.retry_shares import compute_share
from .messages import ReplicaLeaving
from .observing import Observer, ProgramFailed, ReplicaChanged
from .peers.activity import PeerActivity
from .peers.pacing import MIN_INTERVAL
from .peers.standing import Standing
from .placement.prompt_prefixes import PrefixTracker
from .ports import PeerSender, ReplicaClient
from .quarantine import QuarantineCoordinator
from .quotas import TeamQuotas
from .rate_limiting import RateLimitCoordinator
from .replica_speed import ReplicaSpeedCoordinator
from .scheduling.coordinator import SchedulingCoordinator
from .settings import GatewaySettings
from .store.catching_up import CatchingUp
from .store.startup import StartupGate
from .stream_versions import StreamVersionCoordinator


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
    started_at : timedelta
        Monotonic time at which the process started.
    demands : AdapterDemands
        Adapters that requests wait for or use, by replica.
    peer_activity : PeerActivity
        When the other entry processes were last heard.
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
    rate_limiting : RateLimitCoordinator
        Keeps the rate limits that replicas name.
    replica_speed : ReplicaSpeedCoordinator
        Learns how long work takes at each replica.
    scheduling : SchedulingCoordinator
        Admits requests to engines by urgency and team.
    stream_versions : StreamVersionCoordinator
        Knows at which software version streams have started.
    drained_domains : DrainedDomainsCoordinator
        Knows the failure domains that the operator drains.
    catching_up : CatchingUp
        Compares the configuration of a new process with that of its peers.
    startup : StartupGate
        Holds requests until the process knows its configuration, replicas and peers.
    configuration : Configuration or None
        Configuration in force; None until the first one was read.
    peer_ips : list of str
        IP addresses of the other entry processes.
    demand_interval : timedelta
        Time between messages to each side process.
    standing : Standing
        Place of this process among the entry processes.
    is_stopping : bool
        Whether the process is about to end.
    is_refusing : bool
        Whether new requests are refused.
    retry_budgets : dict
        RetryBudgets by service name.
    received : ReceiveBudget
        Bounds what is held of unfinished answers of replicas.
    """

    settings: GatewaySettings
    clock: Clock
    client: ReplicaClient
    peers: PeerSender
    observer: Observer
    fleet: Fleet
    draw: object = field(default_factory=lambda: random.Random().random)
    demands: AdapterDemands = field(default_factory=AdapterDemands)
    peer_activity: PeerActivity = field(default_factory=PeerActivity)
    started_at: timedelta = field(init=False)
    quotas: TeamQuotas = field(init=False)
    catching_up: CatchingUp = field(default_factory=CatchingUp)
    versions: AdapterVersions = field(default_factory=AdapterVersions)
    prefix_tracker: PrefixTracker = field(default_factory=PrefixTracker)
    popularity: AdapterPopularity = field(default_factory=AdapterPopularity)
    admission_client: AdmissionClient = field(init=False)
    quarantine: QuarantineCoordinator = field(init=False)
    rate_limiting: RateLimitCoordinator = field(init=False)
    replica_speed: ReplicaSpeedCoordinator = field(init=False)
    scheduling: SchedulingCoordinator = field(init=False)
    stream_versions: StreamVersionCoordinator = field(init=False)
    drained_domains: DrainedDomainsCoordinator = field(init=False)
    startup: StartupGate = field(init=False)
    configuration: Configuration | None = None
    peer_ips: list[str] = field(default_factory=list)
    demand_interval: timedelta = MIN_INTERVAL
    standing: Standing = field(default_factory=Standing)
    is_stopping: bool = False
    is_refusing: bool = False
    retry_budgets: dict[str, RetryBudget] = field(default_factory=dict)
    received: ReceiveBudget = field(default_factory=ReceiveBudget)

    def __post_init__(self):
        self.started_at = self.clock.monotonic()
        self.quotas = TeamQuotas(self.settings.quota_tolerance, self.peer_activity)
        self.admission_client = AdmissionClient(self.clock, self.peers, self.draw)
        self.catching_up.start(self.started_at)
        self.quarantine = QuarantineCoordinator(self)
        self.rate_limiting = RateLimitCoordinator(self)
        self.replica_speed = ReplicaSpeedCoordinator(self)
        self.scheduling = SchedulingCoordinator(self)
        self.stream_versions = StreamVersionCoordinator(self)
        self.drained_domains = DrainedDomainsCoordinator(self)
        self.startup = StartupGate(self.clock)

    @property
    def processes(self):
        """Number of entry processes that share the fleet's budgets, with this one."""
        return len(self.peer_ips) + 1

    @property
    def configuration_version(self):
        """Version of the configuration in force; 0 if there is none yet."""
        return 0 if self.configuration is None else self.configuration.version

    @property
    def is_behind_peers(self):
        """Whether a peer of this new process has a newer configuration."""
        now = self.clock.monotonic()
        return self.catching_up.is_behind(self.configuration_version, now)

    def send_to_peers(self, message):
        """Send a message to all other entry processes."""
        for ip in self.peer_ips:
            self.peers.send(ip, message)

    def record_leaving(self, replica_id, born, reason):
        """Send no further requests to a replica that leaves.

        Parameters
        ----------
        replica_id : str
            Id of the replica.
        born : int
            Start time of the replica in milliseconds.
        reason : str
            How this process learned it, for the log.

        Returns
        -------
        bool
            Whether this was not known before.
        """
        is_new = self.fleet.directory.mark_leaving(replica_id, born)
        if is_new:
            self.observer.observe(ReplicaChanged(replica_id, "leaving", reason))
        return is_new

    def record_leaving_answer(self, record):
        """Record that the replica of a ReplicaRecord says in an answer that it leaves.

        The peers are told, which may learn it from the store only much later.
        """
        if self.record_leaving(record.id, record.born, "it said so in an answer"):
            self.send_to_peers(ReplicaLeaving(record.id, record.born))

    def find_retry_budget(self, service):
        """Return the RetryBudget of a service; it is created on first use."""
        budget = self.retry_budgets.get(service)
        if budget is None:
            budget = RetryBudget(self.settings.retry_window)
            self.retry_budgets[service] = budget
        return budget

    def compute_retry_share(self, now):
        """Return this process's RetryShare at a monotonic time."""
        return compute_share(self.settings, now - self.started_at, self.standing)

    def send_demand(self, record):
        """Send the demand at a replica to its side process."""
        load, now = self.fleet.find_load(record.id), self.clock.monotonic()
        message = self.demands.make_message(record.id, load, self.demand_interval, now)
        message = self.replica_speed.add_to_demand(record, message)
        self.peers.send(record.ip, message)

    def report_bug(self, failure):
        """Report an unhandled Failure; cancellations are ignored."""
        if failure.check(CancelledError):
            return
        self.observer.observe(ProgramFailed(failure.getTraceback()))
