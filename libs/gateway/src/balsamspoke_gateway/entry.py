"""Core of an entry process, which serves callers and follows the store and peers."""

from dataclasses import replace
from datetime import timedelta

from balsamspoke_types.exceptions import StoreUnavailable
from balsamspoke_types.timing import sleep
from twisted.internet.defer import Deferred

from .admission_messages import AdmissionReply
from .configuration import CallerLimits
from .exceptions import NO_DELAY
from .following import Follower
from .forwarding import Forwarding
from .messages import EntryUsage, ReplicaLeaving, ReplicaState
from .observing import (
    AdapterAnnounced,
    ConfigurationAdopted,
    EntriesListed,
    PeersAhead,
    ReplicaChanged,
    ReplicasListed,
    StoreRestored,
)
from .pacing import choose_interval, choose_lifetime
from .peers import PeerDirectory
from .reachability import STORE, Reachability
from .replicas import RECOVERY_GRACE

# Shortest time between two reads of replica changes, as a fraction of ``drain_time``,
# the time to stop sending to a leaving replica. Each replica writes about once a
# second, and each read is billed.
REPLICA_POLL_RATIO = 0.4
# Shortest time between two reads of announced adapter versions.
VERSION_POLL_INTERVAL = timedelta(milliseconds=500)
# Shortest time between two reads of the list of entry processes.
ENTRY_POLL_INTERVAL = timedelta(seconds=2)

# Interval of updates of the list of entry processes and of retries of failed writes.
REGISTRY_INTERVAL = timedelta(milliseconds=600)

# Time within which the processes read a restored store again, so that they don't all do
# so at the same moment.
RESTORE_READ_SPREAD = timedelta(milliseconds=300)

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
    started : int
        Identifies this start of the process; differs between its starts.
    """

    def __init__(self, context, sources, registry, quarantine_store, started):
        self.context = context
        self._sources = sources
        self._registry = registry
        self._quarantine_store = quarantine_store
        self._started = started
        self._peers = PeerDirectory(context.settings.ip)
        self._running = set()
        self._followers = []
        self._store_era = 0
        self._heard_era = 0
        self._replica_era = None
        self._reachability = Reachability(
            STORE, context.clock, context.observer, self._record_store_recovery
        )

    @property
    def is_ready(self):
        """Whether the process accepts new connections."""
        context = self.context
        return (
            context.configuration is not None
            and not context.is_behind_peers
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
        return self._reachability.silence

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

    def count_silent_peers(self):
        """Return the number of peers that are silent but may still serve requests."""
        return self.context.quotas.count_silent(self.context.clock.monotonic())

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
        sources = self._sources
        self._follow(sources.configurations, self._apply_configurations, None)
        replica_interval = REPLICA_POLL_RATIO * self.context.settings.drain_time
        self._follow(sources.replicas, self._apply_replicas, replica_interval)
        self._follow(sources.versions, self._apply_versions, VERSION_POLL_INTERVAL)
        self._follow(sources.entries, self._apply_entries, ENTRY_POLL_INTERVAL)
        self._maintain_replicas()
        self._send_usage()
        self._run(self._maintain_registry())
        self.context.quarantine.start(
            self._quarantine_store, self._reachability.record_failure
        )

    def handle(self, request, sink):
        """Start to process a CallerRequest; return a Deferred that cancels it."""
        forwarding = Forwarding(self.context, request, sink)
        running = Deferred.fromCoroutine(forwarding.run())
        self._running.add(running)
        running.addBoth(self._remove_running, running)
        return running

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
        else:
            context.quarantine.receive(ip, message)

    def _receive_state(self, ip, state):
        context = self.context
        for record in context.fleet.record_state(ip, state):
            context.demands.record_state(record.id, state.models)
            if state.is_leaving:
                reason = "its side process says so"
                context.record_leaving(record.id, record.born, reason)

    def _receive_usage(self, ip, message):
        now = self.context.clock.monotonic()
        self._compare_with_peer(message, now)
        if ip in self._peers:
            self.context.quotas.record_usage(ip, message, now)
        elif self._peers.record_unlisted(ip, now):
            self._run(self._list_peers())

    def _compare_with_peer(self, usage, now):
        """Notice that a peer knows a newer configuration or era of the store."""
        context = self.context
        own_version = context.configuration_version
        was_behind = context.is_behind_peers
        context.catching_up.record_peer(usage.configuration, own_version, now)
        if context.is_behind_peers and not was_behind:
            context.observer.observe(PeersAhead(own_version, usage.configuration))
        if usage.store_era > max(self._store_era, self._heard_era):
            # A peer's word is no proof of the era; the store's answer will tell it.
            self._heard_era = usage.store_era
            self._run(self._list_peers())

    async def _list_peers(self):
        """Read the list of entry processes anew, besides the watch of its changes."""
        try:
            page = await self._sources.entries.list_all()
        except StoreUnavailable as error:
            self._reachability.record_failure(error)
            return
        self._reachability.record_answer()
        self._apply_entries(page, True)

    def _remove_running(self, result, running):
        self._running.discard(running)
        return result

    def _follow(self, source, apply_page, min_interval):
        context = self.context

        def on_list(page):
            self._store_era = max(self._store_era, page.position.era)
            apply_page(page, True)

        def on_change(page):
            apply_page(page, False)

        follower = Follower(
            source,
            context.clock,
            self._reachability,
            on_list,
            on_change,
            min_interval,
            context.report_bug,
        )
        self._followers.append(follower)
        self._run(follower.run())

    def handle_restored_store(self, previous_era, era):
        """Read all records again, and write again what the store may have lost.

        Parameters
        ----------
        previous_era, era : int
            Eras of the store before and now.
        """
        context = self.context
        self._store_era = era
        context.observer.observe(StoreRestored(previous_era, era))
        # The follower whose call showed the new era is still processing the answer.
        context.clock.call_later(NO_DELAY, self._restart_followers)
        context.quarantine.rewrite_records()
        # By then all processes have added themselves to the list again.
        context.clock.call_later(RECOVERY_GRACE, lambda: self._run(self._list_peers()))

    def _restart_followers(self):
        for follower in self._followers:
            follower.restart(RESTORE_READ_SPREAD * self.context.draw())

    def _run(self, coroutine):
        Deferred.fromCoroutine(coroutine).addErrback(self.context.report_bug)

    async def _maintain_registry(self):
        """Keep this process in the list, and remove peers assumed to have ended."""
        context = self.context
        while True:
            try:
                if not self._peers.is_registered:
                    await self._registry.register()
                    self._peers.record_registration()
                for ip in context.quotas.list_expired_peers(context.clock.monotonic()):
                    if ip in self._peers:
                        await self._registry.remove(self._peers.find_name(ip))
            except StoreUnavailable as error:
                self._reachability.record_failure(error)
            await sleep(context.clock, REGISTRY_INTERVAL)

    def _record_store_recovery(self):
        self.context.fleet.directory.record_store_recovery(
            self.context.clock.monotonic()
        )

    def _apply_configurations(self, page, is_full_list):
        context = self.context
        for change in page.changes:
            candidate = change.record
            current = context.configuration
            if candidate is None:
                continue
            if current is None or candidate.version > current.version:
                context.configuration = candidate
                context.observer.observe(ConfigurationAdopted(candidate.version))
                self._send_demands()
                self._open_if_ready()

    def _apply_replicas(self, page, is_full_list):
        directory = self.context.fleet.directory
        now = self.context.clock.monotonic()
        if is_full_list:
            records = [each.record for each in page.changes if each.record is not None]
            self._adopt_replicas(records, page.position.era, now)
            listed = ReplicasListed(len(records), page.position.revision)
            self.context.observer.observe(listed)
            self._send_demands()
            self._open_if_ready()
            return
        for change in page.changes:
            self._report_record_change(change)
            if change.record is None:
                directory.remove(change.name, now)
            else:
                directory.put(change.record)
        self._open_if_ready()

    def _adopt_replicas(self, records, era, now):
        directory = self.context.fleet.directory
        is_restored = self._replica_era is not None and era > self._replica_era
        self._replica_era = era
        if is_restored:
            directory.restore(records, now)
        else:
            directory.replace_all(records, now)

    def _open_if_ready(self):
        context = self.context
        has_replicas = bool(context.fleet.directory.list_all())
        if context.configuration is not None and has_replicas and self._peers.is_known:
            context.startup.open()

    def _report_record_change(self, change):
        previous = self.context.fleet.directory.find(change.name)
        if change.record is None:
            self._report_change(
                change.name, "gone", "its entry in the store was removed"
            )
        elif previous is None:
            self._report_change(
                change.name, "new", "its entry in the store was written"
            )
        elif change.record.is_leaving and not previous.is_leaving:
            self._report_change(
                change.name, "leaving", "its entry in the store is marked as leaving"
            )

    def _report_change(self, replica, change, reason):
        self.context.observer.observe(ReplicaChanged(replica, change, reason))

    def _apply_versions(self, page, is_full_list):
        for change in page.changes:
            announced = change.record
            if announced is not None:
                self.context.versions.announce(
                    announced.model, announced.adapter, announced.version
                )
                if not is_full_list:
                    self.context.observer.observe(
                        AdapterAnnounced(
                            announced.model, announced.adapter, announced.version
                        )
                    )

    def _apply_entries(self, page, is_full_list):
        if not self._peers.apply(page, is_full_list):
            return
        context = self.context
        peers = self._peers.ips
        context.peer_ips = peers
        lifetime = choose_lifetime(choose_interval(len(peers)))
        context.quotas.set_peers(peers, lifetime, context.clock.monotonic())
        context.observer.observe(EntriesListed(context.processes))
        self._open_if_ready()

    def _maintain_replicas(self):
        context = self.context
        now = context.clock.monotonic()
        for replica_id in context.fleet.directory.expire(now):
            self._report_change(
                replica_id, "gone", "still missing after the store recovered"
            )
        context.fleet.remove_unlisted()
        self._send_demands()
        context.clock.call_later(context.demand_interval, self._maintain_replicas)

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
        if configuration is None:
            return False
        service = configuration.find_service(record.service)
        return service is not None and service.engine is not None

    def _send_usage(self):
        context = self.context
        now = context.clock.monotonic()
        message = replace(
            context.quotas.make_usage(self._started, now),
            configuration=context.configuration_version,
            store_era=self._store_era,
        )
        peers = self._peers.ips
        for ip in peers:
            context.peers.send(ip, message)
        interval = choose_interval(len(peers))
        jitter = 1 + USAGE_JITTER * (context.draw() - 0.5)
        context.clock.call_later(interval * jitter, self._send_usage)
