"""Synchronization of the catalogue of one process."""

from balsamspoke_types.messages import CatalogueDelta, PullCatalogue
from balsamspoke_types.objects import CATALOGUE_KINDS

from .deltas import make_page
from .listing import Listing
from .pulling import PeerPuller
from .recents import RecentChanges
from .settings import CatalogueSettings
from .view import CatalogueView
from .watching import CatalogueWatch


class CatalogueSynchronizer:
    """Synchronizer of a CatalogueView with peers and the object API.

    Changes are pulled from peers periodically and whenever a peer reports a newer
    revision. Processes that watch and processes without answers from peers get changes
    from the object API. A background listing (sweep) finds changes that were missed.

    Parameters
    ----------
    process : ProcessId
        Id of this process, which is never pulled from.
    clock : Clock
        Schedules pulls, listings and checks.
    random_source : random.Random
        Adds jitter to intervals and chooses peers.
    store : ObjectStore
        The object API.
    send : callable
        Called with a ProcessId and the message to send to it.
    settings : CatalogueSettings, optional
        Intervals and sizes; the defaults if omitted.
    kinds : tuple of Kind
        Kinds to synchronize.
    on_change : callable, optional
        Called with the kind and name of an object after another version of it came
        into force.

    Attributes
    ----------
    view : CatalogueView
        The catalogue in force.
    """

    def __init__(
        self,
        process,
        clock,
        random_source,
        store,
        send,
        settings=None,
        kinds=CATALOGUE_KINDS,
        on_change=None,
    ):
        self.process = process
        self.view = CatalogueView(kinds)
        self._clock = clock
        self._random = random_source
        self._store = store
        self._send = send
        self._settings = settings or CatalogueSettings()
        self._on_change = on_change
        self._recent_changes = RecentChanges(
            clock, self._settings.recent_window, self._settings.recent_limit
        )
        self._puller = PeerPuller(
            clock,
            random_source,
            send,
            self.view,
            self._settings,
            self._apply,
            self._report_changes_since,
        )
        self._watch = CatalogueWatch(
            clock,
            random_source,
            store,
            self.view,
            self._settings,
            self._apply,
            self._schedule_sweep_now,
            self._start_urgent_listing,
        )
        self._listing = None
        self._is_watching = False
        self._started_at = None
        self._next_listing_at = None
        self._next_sweep_at = None
        self._timers = {}

    def start(self):
        """Start the synchronization."""
        self._started_at = self._clock.monotonic()
        self._next_listing_at = self._started_at
        interval = self._settings.sweep_interval
        self._next_sweep_at = self._started_at + interval * self._random.random()
        self._tick()
        self._pull_periodically()

    def stop(self):
        """Stop pulls, the watch, the listing and all timers."""
        self._started_at = None
        for timer in self._timers.values():
            timer.cancel()
        self._puller.stop()
        self._watch.stop()
        if self._listing is not None:
            self._listing.stop()

    def set_peers(self, peers):
        """Set the connected entry processes that may be pulled from."""
        self._puller.set_peers(peer for peer in peers if peer != self.process)
        if self._started_at is not None and not self.view.is_complete:
            self._puller.pull()

    def set_watching(self, is_watching):
        """Set whether this process is one of those that watch the object API."""
        self._is_watching = is_watching
        if self._started_at is not None:
            self._update_source()

    def update_peer_revision(self, peer, revision):
        """Record the revision up to which a peer is complete; pull if it is newer."""
        if self._started_at is not None:
            self._puller.update_peer_revision(peer, revision)

    def peer_connected(self, peer):
        """Handle a new connection to a peer; nothing to do."""

    def peer_disconnected(self, peer):
        """Handle the loss of a connection; a pull from this peer moves to another."""
        self._puller.remove_peer(peer)

    def peer_message(self, peer, message):
        """Handle a message and return whether it is one of the catalogue messages."""
        if isinstance(message, PullCatalogue):
            self._send_page(peer, message)
        elif isinstance(message, CatalogueDelta):
            if self._started_at is not None:
                self._puller.handle_delta(peer, message)
                self._update_source()
        else:
            return False
        return True

    def _send_page(self, peer, pull):
        kinds = pull.kinds or CATALOGUE_KINDS
        if not self.view.is_complete or not set(kinds) <= set(self.view.kinds):
            self._send(peer, CatalogueDelta(pull.since, (), -1))
            return
        recent_changes = self._recent_changes.list_objects()
        try:
            page = make_page(self.view, pull, self._settings.page_bytes, recent_changes)
        except ValueError:
            page = CatalogueDelta(pull.since, (), -1)
        self._send(peer, page)

    def _apply(self, stored, seen_revision):
        if not self.view.put(stored, seen_revision):
            return
        if self.view.is_complete:
            self._recent_changes.add(stored)
        if self._on_change is not None:
            self._on_change(stored.kind, stored.name)

    def _report_changes_since(self, versions_before):
        versions_after = {
            (kind, name): self.view.get_current_version(kind, name)
            for kind in self.view.kinds
            for name in self.view.names(kind)
        }
        changed = [
            key
            for key, version in versions_after.items()
            if versions_before.get(key) != version
        ]
        changed += [key for key in versions_before if key not in versions_after]
        if self._on_change is not None:
            for kind, name in changed:
                self._on_change(kind, name)

    def _tick(self):
        if not self.view.is_complete:
            self._puller.pull()
        self._update_source()
        self._sweep_if_due()
        delay = self._settings.retry_delay * self._random.uniform(0.5, 1.0)
        self._timers["tick"] = self._clock.call_later(delay, self._tick)

    def _pull_periodically(self):
        self._puller.pull()
        delay = self._settings.pull_interval * self._random.uniform(0.5, 1.0)
        self._timers["pull"] = self._clock.call_later(delay, self._pull_periodically)

    def _update_source(self):
        if not self.view.is_complete:
            if self._is_without_peer_answers():
                self._start_urgent_listing()
        elif self._is_watching or self._is_without_peer_answers():
            if self._listing is None or not self._listing.is_urgent:
                self._watch.start()
        else:
            self._watch.stop()

    def _is_without_peer_answers(self):
        last = self._puller.last_answer_at
        since = self._started_at if last is None else last
        delay = self._settings.fallback_delay
        if last is not None:
            delay += self._settings.pull_interval
        return self._clock.monotonic() - since >= delay

    def _sweep_if_due(self):
        now = self._clock.monotonic()
        if (
            now >= self._next_sweep_at
            and self.view.is_complete
            and self._listing is None
        ):
            interval = self._settings.sweep_interval
            self._next_sweep_at = now + interval * self._random.uniform(0.75, 1.0)
            self._start_listing(self._settings.sweep_pause)

    def _schedule_sweep_now(self):
        self._next_sweep_at = min(self._next_sweep_at, self._clock.monotonic())

    def _start_urgent_listing(self):
        now = self._clock.monotonic()
        if self._listing is not None and self._listing.is_urgent:
            return
        if now < self._next_listing_at:
            return
        if self._listing is not None:
            self._listing.stop()
        self._next_listing_at = now + self._settings.maximum_retry_delay
        self._start_listing(None)

    def _start_listing(self, page_delay):
        self._listing = Listing(
            self._clock,
            self._store,
            self.view,
            self._apply,
            self._handle_listing_end,
            page_delay,
        )
        self._listing.start()

    def _handle_listing_end(self, is_complete_listing):
        self._listing = None
        if not is_complete_listing:
            retry_at = self._clock.monotonic() + self._settings.watch_period
            self._next_sweep_at = min(self._next_sweep_at, retry_at)
        self._update_source()
