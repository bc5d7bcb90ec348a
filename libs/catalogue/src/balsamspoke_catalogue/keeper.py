"""Keep one process's catalogue up to date."""

from balsamspoke_types.messages import CatalogueDelta, PullCatalogue
from balsamspoke_types.objects import CATALOGUE_KINDS

from .deltas import make_page
from .listing import Listing
from .pulling import PeerPuller
from .recents import RecentChanges
from .settings import CatalogueSettings
from .view import CatalogueView
from .watching import CatalogueWatch


class CatalogueKeeper:
    """Fill a CatalogueView from peers and from the object API.

    Parameters
    ----------
    process : ProcessId
        Whose catalogue it is.
    clock : Clock
        Time.
    random_source : random.Random
        Spreads calls and chooses peers.
    store : ObjectStore
        The object API.
    send : callable
        Called with a ProcessId and a message.
    settings : CatalogueSettings, optional
        Intervals and sizes.
    kinds : tuple of Kind
        Kinds to keep.
    on_change : callable, optional
        Called with a kind and a name after another version of it is in force.

    Attributes
    ----------
    view : CatalogueView
        What is in force.
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
        self._recents = RecentChanges(
            clock, self._settings.recent_window, self._settings.recent_limit
        )
        self._puller = PeerPuller(
            clock,
            random_source,
            send,
            self.view,
            self._settings,
            self._take,
            self._tell_replaced,
        )
        self._watch = CatalogueWatch(
            clock,
            random_source,
            store,
            self.view,
            self._settings,
            self._take,
            self._sweep_soon,
            self._list_now,
        )
        self._listing = None
        self._is_watching = False
        self._started_at = None
        self._list_at = None
        self._sweep_at = None
        self._timers = {}

    def start(self):
        """Begin to fill the view."""
        self._started_at = self._clock.monotonic()
        self._list_at = self._started_at
        interval = self._settings.sweep_interval
        self._sweep_at = self._started_at + interval * self._random.random()
        self._tick()
        self._pull_at_random()

    def stop(self):
        """End all calls and timers."""
        self._started_at = None
        for timer in self._timers.values():
            timer.cancel()
        self._puller.stop()
        self._watch.stop()
        if self._listing is not None:
            self._listing.stop()

    def set_peers(self, peers):
        """Name the connected entry processes that may be pulled from."""
        self._puller.set_peers(peer for peer in peers if peer != self.process)
        if self._started_at is not None and not self.view.is_complete:
            self._puller.pull()

    def set_watching(self, is_watching):
        """Say whether this process is one of those that watch the object API."""
        self._is_watching = is_watching
        if self._started_at is not None:
            self._choose_source()

    def note_revision(self, peer, revision):
        """Note that a peer's catalogue is complete up to a revision."""
        if self._started_at is not None:
            self._puller.note_revision(peer, revision)

    def peer_connected(self, peer):
        """Note that messages can be sent to a peer."""

    def peer_disconnected(self, peer):
        """Ask another peer if this one was being asked."""
        self._puller.forget_peer(peer)

    def peer_message(self, peer, message):
        """Take a message; return whether it is one of the catalogue's."""
        if isinstance(message, PullCatalogue):
            self._answer(peer, message)
        elif isinstance(message, CatalogueDelta):
            if self._started_at is not None:
                self._puller.take_delta(peer, message)
                self._choose_source()
        else:
            return False
        return True

    def _answer(self, peer, pull):
        kinds = pull.kinds or CATALOGUE_KINDS
        if not self.view.is_complete or not set(kinds) <= set(self.view.kinds):
            self._send(peer, CatalogueDelta(pull.since, (), -1))
            return
        recent = self._recents.list_objects()
        try:
            page = make_page(self.view, pull, self._settings.page_bytes, recent)
        except ValueError:
            page = CatalogueDelta(pull.since, (), -1)
        self._send(peer, page)

    def _take(self, stored, seen_at):
        if not self.view.put(stored, seen_at):
            return
        if self.view.is_complete:
            self._recents.add(stored)
        if self._on_change is not None:
            self._on_change(stored.kind, stored.name)

    def _tell_replaced(self, before):
        after = {
            (kind, name): self.view.version_of(kind, name)
            for kind in self.view.kinds
            for name in self.view.names(kind)
        }
        changed = [key for key, version in after.items() if before.get(key) != version]
        changed += [key for key in before if key not in after]
        if self._on_change is not None:
            for kind, name in changed:
                self._on_change(kind, name)

    def _tick(self):
        if not self.view.is_complete:
            self._puller.pull()
        self._choose_source()
        self._sweep_if_due()
        delay = self._settings.retry_delay * self._random.uniform(0.5, 1.0)
        self._timers["tick"] = self._clock.call_later(delay, self._tick)

    def _pull_at_random(self):
        self._puller.pull()
        delay = self._settings.pull_interval * self._random.uniform(0.5, 1.0)
        self._timers["pull"] = self._clock.call_later(delay, self._pull_at_random)

    def _choose_source(self):
        if not self.view.is_complete:
            if self._is_alone():
                self._list_now()
        elif self._is_watching or self._is_alone():
            if self._listing is None or not self._listing.is_urgent:
                self._watch.start()
        else:
            self._watch.stop()

    def _is_alone(self):
        last = self._puller.answered_at
        since = self._started_at if last is None else last
        delay = self._settings.fallback_delay
        if last is not None:
            delay += self._settings.pull_interval
        return self._clock.monotonic() - since >= delay

    def _sweep_if_due(self):
        now = self._clock.monotonic()
        if now >= self._sweep_at and self.view.is_complete and self._listing is None:
            interval = self._settings.sweep_interval
            self._sweep_at = now + interval * self._random.uniform(0.75, 1.0)
            self._start_listing(self._settings.sweep_pause)

    def _sweep_soon(self):
        self._sweep_at = min(self._sweep_at, self._clock.monotonic())

    def _list_now(self):
        now = self._clock.monotonic()
        if self._listing is not None and self._listing.is_urgent:
            return
        if now < self._list_at:
            return
        if self._listing is not None:
            self._listing.stop()
        self._list_at = now + self._settings.maximum_retry_delay
        self._start_listing(None)

    def _start_listing(self, pause):
        self._listing = Listing(
            self._clock, self._store, self.view, self._take, self._end_listing, pause
        )
        self._listing.start()

    def _end_listing(self, is_whole):
        self._listing = None
        if not is_whole:
            retry_at = self._clock.monotonic() + self._settings.watch_period
            self._sweep_at = min(self._sweep_at, retry_at)
        self._choose_source()
