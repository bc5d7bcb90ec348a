"""Core of an entry process, which serves callers and follows the store and peers."""

from dataclasses import replace

from twisted.internet.defer import Deferred

from .admission.messages import AdmissionReply
from .configuration import CallerLimits
from .forwarding.forwarding import Forwarding
from .messages import EntryUsage, ReplicaLeaving, ReplicaState
from .observing import PeersAhead
from .peers.pacing import choose_interval
from .store.view import StoreView

# Jitter of the messages to peers, as a fraction of their interval. Without it,
# processes that start together would keep sending at the same moments, and neither of
# two crossing messages includes in its bucket levels what the other one reports.
USAGE_JITTER = 0.2


class EntryCore:
    """Serve the requests of callers with the state from the store and the peers.

    Parameters
    ----------
    context : GatewayContext
        Shared state and ports of the process.
    sources : EntrySources
        Record kinds to follow.
    registry : EntryRegistry
        List of entry processes, to which this process adds itself.
    quarantine_store : QuarantineStore
        Keeps the prompts that crash replicas.
    version_store : VersionRegisterStore
        Keeps the software versions at which streams may have begun.
    started : int
        Identifies this start of the process; differs between its starts.
    """

    def __init__(
        self, context, sources, registry, quarantine_store, version_store, started
    ):
        self.context = context
        self._store_view = StoreView(context, sources, registry, self._send_demands)
        self._quarantine_store = quarantine_store
        self._version_store = version_store
        self._started = started
        self._running = {}

    @property
    def is_ready(self):
        """Whether the process accepts new connections."""
        context = self.context
        return (
            context.configuration is not None
            and not context.is_behind_peers
            and context.drained_domains.is_known
            and bool(context.fleet.directory.list_all())
            and not context.is_stopping
        )

    @property
    def open_requests(self):
        """Number of requests without a final answer."""
        return len(self._running)

    @property
    def configuration_version(self):
        """Version of the configuration in force; None if there is none yet."""
        return self.context.configuration_version or None

    @property
    def caller_limits(self):
        """CallerLimits in force; the defaults until a configuration was read."""
        configuration = self.context.configuration
        return CallerLimits() if configuration is None else configuration.caller_limits

    @property
    def store_silence(self):
        """Seconds since the store's last answer; None if there was none yet."""
        return self._store_view.reachability.silence

    def count_replicas(self):
        """Return the number of replicas in the directory."""
        return len(self.context.fleet.directory.list_all())

    def count_silent_replicas(self):
        """Return the number of engines whose side process sent no recent report."""
        fleet = self.context.fleet
        engines = filter(self._has_engine, fleet.directory.list_all())
        return sum(fleet.find_state(each) is None for each in engines)

    def count_quarantined(self):
        """Return the number of sets of prompt parts that are refused."""
        return self.context.quarantine.count_entries()

    def count_rate_limited(self):
        """Return the number of replicas that name a rate limit."""
        return self.context.fleet.rate_limits.count()

    def count_drained_domains(self):
        """Return the number of failure domains that the operator drains."""
        return self.context.drained_domains.count_domains()

    def count_placed_elsewhere(self):
        """Return the requests that drained domains have not got since their drains."""
        return self.context.drained_domains.count_placed_elsewhere()

    def count_cold(self):
        """Return the number of replicas that are cold."""
        return len(self.context.fleet.cold_replicas)

    def count_withheld(self):
        """Return the requests that got no permit for a cold replica."""
        return self.context.fleet.cold_replicas.withheld

    def find_extreme_speeds(self):
        """Return the slowdowns of the fastest and the slowest replica, or None."""
        return self.context.replica_speed.find_extremes()

    def count_streams(self):
        """Return the number of streams of which the software version is known."""
        return self.context.stream_versions.count_records()

    def count_silent_peers(self):
        """Return the number of peers that are silent but may still serve requests."""
        context = self.context
        return context.peer_activity.count_silent(context.clock.monotonic())

    def list_shares(self):
        """Return the TeamShare of each team that has a limit."""
        context = self.context
        if context.configuration is None:
            return []
        now = context.clock.monotonic()
        limited = [team for team in context.configuration.teams if team.rate > 0]
        return [context.quotas.get_share(team, now) for team in limited]

    def start(self):
        """Start to follow the store and to exchange messages; return at once."""
        self.context.stream_versions.start(
            self._store_view.reachability, self._version_store
        )
        self._store_view.start()
        self._maintain_replicas()
        self.context.replica_speed.start()
        self._send_usage()
        self.context.scheduling.start()
        self.context.quarantine.start(
            self._quarantine_store, self._store_view.reachability.record_failure
        )

    def handle_restored_store(self, previous_era, era):
        """Begin anew with a store that was restored from an older copy.

        Parameters
        ----------
        previous_era, era : int
            Eras of the store before and now.
        """
        self._store_view.handle_restored_store(previous_era, era)

    def handle(self, request, sink):
        """Start to process a CallerRequest; return a Deferred that cancels it."""
        forwarding = Forwarding(self.context, request, sink)
        running = Deferred.fromCoroutine(forwarding.run())
        self._running[running] = forwarding
        running.addBoth(self._remove_running, running)
        return running

    def end_requests(self):
        """Answer all open requests at once, as the process ends."""
        for running, forwarding in list(self._running.items()):
            forwarding.mark_ending()
            running.cancel()

    def receive_message(self, ip, message):
        """Process a message from the side process or entry process at an IP address."""
        context = self.context
        if isinstance(message, ReplicaState):
            self._receive_state(ip, message)
        elif isinstance(message, AdmissionReply):
            context.admission_client.record_reply(message)
        elif isinstance(message, EntryUsage):
            self._receive_usage(ip, message)
        elif isinstance(message, ReplicaLeaving):
            context.record_leaving(message.replica, message.born, "a peer says so")
        elif not (
            context.rate_limiting.receive(ip, message)
            or context.replica_speed.receive(message)
            or context.scheduling.receive(ip, message)
            or context.stream_versions.receive(ip, message)
        ):
            context.quarantine.receive(ip, message)

    def _receive_state(self, ip, state):
        context = self.context
        for record in context.fleet.record_state(ip, state):
            context.demands.record_state(record.id, state.models)
            context.drained_domains.record_state(record)
            if state.is_leaving:
                reason = "its side process says so"
                context.record_leaving(record.id, record.born, reason)

    def _receive_usage(self, ip, message):
        now = self.context.clock.monotonic()
        self._compare_with_peer(message, now)
        if ip in self._store_view.peers:
            if self.context.quotas.record_usage(ip, message, now):
                self.context.rate_limiting.inform(ip)
        elif self._store_view.peers.record_unlisted(ip, now):
            self._store_view.read_peers()

    def _compare_with_peer(self, usage, now):
        """Notice that a peer knows a newer configuration or era of the store."""
        context = self.context
        own_version = context.configuration_version
        was_behind = context.is_behind_peers
        context.catching_up.record_peer(usage.configuration, own_version, now)
        if context.is_behind_peers and not was_behind:
            context.observer.observe(PeersAhead(own_version, usage.configuration))
        self._store_view.record_peer_era(usage.store_era)
        era = self._store_view.era
        context.drained_domains.receive(usage.drained_domains, era)

    def _remove_running(self, result, running):
        self._running.pop(running, None)
        return result

    def _run(self, coroutine):
        Deferred.fromCoroutine(coroutine).addErrback(self.context.report_bug)

    def _maintain_replicas(self):
        context = self.context
        # First, so that an error doesn't end the updates for good.
        context.clock.call_later(context.demand_interval, self._maintain_replicas)
        context.stream_versions.refresh()
        context.fleet.remove_unlisted()
        context.drained_domains.maintain()
        context.rate_limiting.warmups.expire()
        self._send_demands()

    def _send_demands(self):
        """Send the demand at each engine to its side process.

        A side process without recent demand from this process replies at once.
        """
        context = self.context
        engines = list(filter(self._has_engine, context.fleet.directory.list_all()))
        context.demand_interval = choose_interval(len(engines))
        for record in engines:
            context.send_demand(record)

    def _has_engine(self, record):
        configuration = self.context.configuration
        return configuration is not None and configuration.has_engine(record.service)

    def _send_usage(self):
        context = self.context
        peers = self._store_view.peers.ips
        interval = choose_interval(len(peers))
        jitter = 1 + USAGE_JITTER * (context.draw() - 0.5)
        # First, so that an error doesn't end the messages for good.
        context.clock.call_later(interval * jitter, self._send_usage)
        now = context.clock.monotonic()
        message = replace(
            context.quotas.make_usage(self._started, now),
            configuration=context.configuration_version,
            store_era=self._store_view.era,
            drained_domains=context.drained_domains.make_notice(),
        )
        for ip in peers:
            context.peers.send(ip, message)
