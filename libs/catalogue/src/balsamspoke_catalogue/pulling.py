"""Pull from peers what changed."""

from balsamspoke_types.messages import PullCatalogue

from .deltas import Place
from .view import CatalogueView


class PeerPuller:
    """One pull at a time, page by page, from a peer that may know more.

    Parameters
    ----------
    clock : Clock
        Time.
    random_source : random.Random
        Chooses peers.
    send : callable
        Called with a ProcessId and a message.
    view : CatalogueView
        What is completed.
    settings : CatalogueSettings
        Intervals.
    take : callable
        Called with each StoredObject and the revision that shows it.
    on_replaced : callable
        Called after the view was replaced by a whole snapshot, with the versions
        it had before, as a mapping of (kind, name).

    Attributes
    ----------
    answered_at : timedelta or None
        When a complete peer gave a last page.

    Notes
    -----
    A page is asked for only once the one before it was taken, and each page
    carries the revision of the first one. So a last page proves that all is in up
    to its revision, and a pull that ends early proves nothing.
    """

    def __init__(self, clock, random_source, send, view, settings, take, on_replaced):
        self._clock = clock
        self._random = random_source
        self._send = send
        self._view = view
        self._settings = settings
        self._take = take
        self._on_replaced = on_replaced
        self._peers = ()
        self._revisions = {}
        self._refusals = set()
        self._snapshot = None
        self._pull = None
        self.answered_at = None

    def set_peers(self, peers):
        """Name the peers that may be asked."""
        self._peers = tuple(peers)
        self._revisions = {
            peer: known
            for peer, known in self._revisions.items()
            if peer in self._peers
        }

    def note_revision(self, peer, revision):
        """Note a peer's revision, and pull if it is newer."""
        if peer in self._peers:
            self._revisions[peer] = revision
            if revision > self._view.revision:
                self.pull()

    def pull(self, peer=None):
        """Ask a peer, unless a pull runs: the given, a newer, or any."""
        if self._pull is not None or not self._peers:
            return
        since = 0 if self._snapshot is not None else self._view.revision
        if not self._view.is_complete:
            since = 0
        self._pull = _Pull(peer or self._choose_peer(), since)
        self._ask("")

    def stop(self):
        """End the running pull."""
        if self._pull is not None:
            self._pull.timer.cancel()
            self._pull = None

    def forget_peer(self, peer):
        """End a pull from a peer that is gone."""
        self._revisions.pop(peer, None)
        if self._pull is not None and self._pull.peer == peer:
            self._fail()

    def take_delta(self, peer, delta):
        """Take a page; one that wasn't asked for adds objects and nothing else."""
        pull = self._pull
        is_asked = pull is not None and (pull.peer, pull.since) == (peer, delta.since)
        into_snapshot = is_asked and self._snapshot is not None
        for stored in delta.objects:
            if into_snapshot:
                self._snapshot.put(stored)
            self._take(stored, stored.version)
        if pull is not None and pull.peer == peer and delta.revision < 0:
            self._refuse(peer, delta)
        elif is_asked and delta.more:
            self._ask_next(delta)
        elif is_asked:
            self._end(peer, delta)

    def _choose_peer(self):
        newest = [
            peer
            for peer, revision in sorted(self._revisions.items())
            if revision > self._view.revision
        ]
        return self._random.choice(newest or self._peers)

    def _ask(self, after):
        pull = self._pull
        pull.after = after
        if pull.timer is not None:
            pull.timer.cancel()
        pull.timer = self._clock.call_later(self._settings.pull_timeout, self._fail)
        message = PullCatalogue(pull.since, after, self._view.kinds)
        self._send(pull.peer, message)

    def _ask_next(self, delta):
        if delta.more in self._pull.asked:
            return
        try:
            place = Place.parse(delta.more)
        except ValueError:
            self._fail()
            return
        self._pull.asked.add(delta.more)
        self._pull.floor = place.floor
        self._ask(delta.more)

    def _end(self, peer, delta):
        pull = self._pull
        self.stop()
        self._refusals.clear()
        self.answered_at = self._clock.monotonic()
        self._revisions[peer] = delta.revision
        if self._snapshot is not None:
            self._finish_snapshot(pull, delta)
        else:
            if not self._view.is_complete:
                self._view.raise_floor(_find_floor(pull, delta))
            self._view.advance(delta.revision)
        if max(self._revisions.values()) > self._view.revision:
            self.pull()

    def _finish_snapshot(self, pull, delta):
        snapshot, self._snapshot = self._snapshot, None
        if delta.revision < self._view.revision:
            # Older than what is in force: a snapshot of another peer is needed.
            return
        snapshot.raise_floor(_find_floor(pull, delta))
        snapshot.advance(delta.revision)
        before = _list_versions(self._view)
        self._view.replace_with(snapshot)
        self._on_replaced(before)

    def _refuse(self, peer, delta):
        asked_since = self._pull.since
        self.stop()
        self._revisions.pop(peer, None)
        if delta.since == 0 and asked_since > 0:
            self._refusals.add(peer)
            enough = min(self._settings.refusals_before_snapshot, len(self._peers))
            if len(self._refusals) >= enough:
                self._refusals.clear()
                self._snapshot = CatalogueView(self._view.kinds)

    def _fail(self):
        peer = self._pull.peer
        self.stop()
        self._revisions.pop(peer, None)
        if self._snapshot is not None:
            # Parts of two snapshots may not be mixed: either lacks tombstones.
            self._snapshot = CatalogueView(self._view.kinds)
        others = [other for other in self._peers if other != peer]
        if others:
            self.pull(self._random.choice(others))


class _Pull:
    def __init__(self, peer, since):
        self.peer = peer
        self.since = since
        self.after = ""
        self.asked = set()
        self.floor = None
        self.timer = None


def _find_floor(pull, delta):
    # Without a place the peer's floor isn't known; its revision is above it.
    return delta.revision if pull.floor is None else pull.floor


def _list_versions(view):
    return {
        (kind, name): view.version_of(kind, name)
        for kind in view.kinds
        for name in view.names(kind)
    }
