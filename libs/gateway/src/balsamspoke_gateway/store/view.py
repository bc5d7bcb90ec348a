"""What an entry process knows from the platform's store, kept up to date."""

from balsamspoke_types.exceptions import StoreUnavailable
from twisted.internet.defer import Deferred

from ..exceptions import NO_DELAY
from ..fleet.replicas import RECOVERY_GRACE
from ..observing import (
    AdapterAnnounced,
    ConfigurationAdopted,
    EntriesListed,
    StoreRestored,
)
from ..peers.directory import PeerDirectory
from ..peers.pacing import choose_interval, choose_lifetime
from .following import Follower
from .probing import StoreProber
from .reachability import STORE, Reachability
from .registration import EntryRegistration
from .replica_records import ReplicaRecords
from .watch_times import (
    ENTRY_POLL_INTERVAL,
    READ_SPREAD,
    REPLICA_POLL_RATIO,
    VERSION_POLL_INTERVAL,
    choose_probe_interval,
    compute_harmless_outage,
)


class StoreView:
    """Apply the records of the store to the state of an entry process.

    Parameters
    ----------
    context : GatewayContext
        Shared state of the process.
    sources : EntrySources
        Record kinds to follow.
    registry : EntryRegistry
        List of entry processes, to which this process adds itself.
    on_change : callable
        Called without arguments when the configuration or all replicas were read.

    Attributes
    ----------
    peers : PeerDirectory
        The other entry processes.
    reachability : Reachability
        Whether the store answers.
    era : int
        Era of the store that was read last; 0 if not known.
    """

    def __init__(self, context, sources, registry, on_change):
        self._context = context
        self._sources = sources
        self._on_change = on_change
        self._followers = []
        self._heard_era = 0
        self._replicas = ReplicaRecords(context, on_change)
        self.peers = PeerDirectory(context.settings.ip)
        self.reachability = Reachability(
            STORE, context.clock, context.observer, self._record_store_recovery
        )
        self._registration = EntryRegistration(
            context, registry, self.peers, self.reachability, self._list_peers
        )
        self._prober = StoreProber(
            context.clock,
            self.reachability,
            registry.probe,
            choose_probe_interval(context.settings),
            self._restart_followers,
        )
        self.era = 0

    def start(self):
        """Start to follow the records; return at once."""
        sources = self._sources
        self._follow(
            "configurations", sources.configurations, self._apply_configurations, None
        )
        replica_interval = REPLICA_POLL_RATIO * self._context.settings.drain_time
        self._follow(
            "replicas", sources.replicas, self._apply_replicas, replica_interval
        )
        self._follow(
            "adapter versions",
            sources.versions,
            self._apply_versions,
            VERSION_POLL_INTERVAL,
        )
        self._follow(
            "entry processes", sources.entries, self._apply_entries, ENTRY_POLL_INTERVAL
        )
        if sources.drained_domains is not None:
            source = self._context.drained_domains.track(sources.drained_domains)
            follower = self._follow(
                "drained domains", source, self._apply_drained_domains, None
            )
            self._context.drained_domains.set_follower(follower)
        self._run(self._prober.run())

    def record_peer_era(self, era):
        """Ask the store for its era if a peer tells of a later one."""
        if era > max(self.era, self._heard_era):
            # A peer's word is no proof of the era; the store's answer will tell it.
            self._heard_era = era
            self.read_peers()

    def read_peers(self):
        """Read the list of entry processes anew, besides the watch of its changes."""
        self._run(self._list_peers())

    def _follow(self, name, source, apply_page, min_interval):
        context = self._context

        def on_list(page):
            self.era = max(self.era, page.position.era)
            apply_page(page, True)

        def on_change(page):
            apply_page(page, False)

        follower = Follower(
            name,
            source,
            context.clock,
            self.reachability,
            on_list,
            on_change,
            min_interval,
            context.observer,
            context.report_bug,
        )
        self._followers.append(follower)
        self._run(follower.run())
        return follower

    def handle_restored_store(self, previous_era, era):
        """Read all records again, and write again what the store may have lost.

        Parameters
        ----------
        previous_era, era : int
            Eras of the store before and now.
        """
        context = self._context
        self.era = era
        context.observer.observe(StoreRestored(previous_era, era))
        # The follower whose call showed the new era is still processing the answer.
        context.clock.call_later(NO_DELAY, self._restart_followers)
        context.quarantine.rewrite_records()
        context.stream_versions.handle_restored_store()
        # By then all processes have added themselves to the list again.
        context.clock.call_later(RECOVERY_GRACE, self.read_peers)

    def _restart_followers(self):
        for follower in self._followers:
            follower.restart(READ_SPREAD * self._context.draw())

    async def _list_peers(self):
        """Read the list of entry processes; return whether the store answered."""
        try:
            page = await self._sources.entries.list_all()
        except StoreUnavailable as error:
            self.reachability.record_failure(error)
            return False
        self.reachability.record_answer()
        self._apply_entries(page, True)
        return True

    def _record_store_recovery(self):
        context = self._context
        outage = self.reachability.last_outage
        harmless_outage = compute_harmless_outage(context.settings)
        if outage is None or outage > harmless_outage.total_seconds():
            self._replicas.record_recovery()
        context.stream_versions.record_recovery()

    def _apply_configurations(self, page, is_full_list):
        context = self._context
        for change in page.changes:
            candidate = change.record
            current = context.configuration
            if candidate is None:
                continue
            if current is None or candidate.version > current.version:
                context.configuration = candidate
                context.observer.observe(ConfigurationAdopted(candidate.version))
                context.rate_limiting.warmups.record_configuration()
                self._on_change()
                self._open_if_ready()

    def _apply_replicas(self, page, is_full_list):
        self._replicas.apply(page, is_full_list)
        self._open_if_ready()

    def _apply_versions(self, page, is_full_list):
        for change in page.changes:
            announced = change.record
            if announced is not None:
                self._context.versions.announce(
                    announced.model, announced.adapter, announced.version
                )
                if not is_full_list:
                    self._context.observer.observe(
                        AdapterAnnounced(
                            announced.model, announced.adapter, announced.version
                        )
                    )

    def _apply_drained_domains(self, page, is_full_list):
        self._context.drained_domains.apply(page, is_full_list)
        self._open_if_ready()

    def _apply_entries(self, page, is_full_list):
        is_first = not self.peers.is_known
        if not self.peers.apply(page, is_full_list):
            return
        context = self._context
        peers = self.peers.ips
        context.peer_ips = peers
        self._registration.update_standing()
        lifetime = choose_lifetime(choose_interval(len(peers)))
        context.quotas.set_peers(peers, lifetime, context.clock.monotonic())
        context.observer.observe(EntriesListed(context.processes))
        self._open_if_ready()
        if is_first and self.peers.is_known:
            self._run(self._registration.maintain())

    def _open_if_ready(self):
        context = self._context
        is_ready = (
            context.configuration is not None
            and bool(context.fleet.directory.list_all())
            and context.drained_domains.is_known
            and self.peers.is_known
        )
        if is_ready:
            context.startup.open()

    def _run(self, coroutine):
        Deferred.fromCoroutine(coroutine).addErrback(self._context.report_bug)
