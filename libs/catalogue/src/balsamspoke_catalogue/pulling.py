"""Pulling of catalogue changes from peers."""

from balsamspoke_types.messages import PullCatalogue

from .deltas import PageCursor
from .view import CatalogueView


class PeerPuller:
    """Client that pulls changes from one peer at a time, page by page.

    Parameters
    ----------
    clock : Clock
        Schedules timeouts.
    random_source : random.Random
        Chooses peers.
    send : callable
        Called with a ProcessId and the message to send to it.
    view : CatalogueView
        View to bring up to date.
    settings : CatalogueSettings
        Timeouts and limits.
    apply : callable
        Called with each StoredObject and its version.
    on_replaced : callable
        Called after the view was replaced by a snapshot of the whole catalogue, with
        the previous versions as a mapping from (kind, name).

    Attributes
    ----------
    last_answer_at : timedelta or None
        Monotonic time at which a pull was last completed; None before the first.

    Notes
    -----
    A page is requested only after the previous one was applied, and each page carries
    the revision of the first one. The last page therefore proves that the view is
    complete up to that revision; a pull that ends early proves nothing.
    """

    def __init__(self, clock, random_source, send, view, settings, apply, on_replaced):
        self._clock = clock
        self._random = random_source
        self._send = send
        self._view = view
        self._settings = settings
        self._apply = apply
        self._on_replaced = on_replaced
        self._peers = ()
        self._peer_revisions = {}
        self._refusing_peers = set()
        self._snapshot = None
        self._pull = None
        self.last_answer_at = None

    def set_peers(self, peers):
        """Set the peers that may be pulled from."""
        self._peers = tuple(peers)
        self._peer_revisions = {
            peer: peer_revision
            for peer, peer_revision in self._peer_revisions.items()
            if peer in self._peers
        }

    def update_peer_revision(self, peer, revision):
        """Record the revision of a peer, and pull if it is newer than the view."""
        if peer in self._peers:
            self._peer_revisions[peer] = revision
            if revision > self._view.revision:
                self.pull()

    def pull(self, peer=None):
        """Start a pull unless one is running or no peer is known.

        Parameters
        ----------
        peer : ProcessId, optional
            Peer to pull from. By default a random one of those with a newer
            revision, or of all if there is none.
        """
        if self._pull is not None or not self._peers:
            return
        since = 0 if self._snapshot is not None else self._view.revision
        if not self._view.is_complete:
            since = 0
        self._pull = _PullState(peer or self._choose_peer(), since)
        self._request_page("")

    def stop(self):
        """Stop the running pull."""
        if self._pull is not None:
            self._pull.timer.cancel()
            self._pull = None

    def remove_peer(self, peer):
        """Handle the loss of a peer; a pull from it moves to another peer."""
        self._peer_revisions.pop(peer, None)
        if self._pull is not None and self._pull.peer == peer:
            self._retry_with_other_peer()

    def handle_delta(self, peer, delta):
        """Handle a page of a delta.

        The objects of any page are applied. Only a page of the running pull completes
        the view or requests a next page.
        """
        pull = self._pull
        is_expected = pull is not None and (pull.peer, pull.since) == (
            peer,
            delta.since,
        )
        is_for_snapshot = is_expected and self._snapshot is not None
        for stored in delta.objects:
            if is_for_snapshot:
                self._snapshot.put(stored)
            self._apply(stored, stored.version)
        if pull is not None and pull.peer == peer and delta.revision < 0:
            self._handle_refusal(peer, delta)
        elif is_expected and delta.more:
            self._request_next_page(delta)
        elif is_expected:
            self._finish(peer, delta)

    def _choose_peer(self):
        newer_peers = [
            peer
            for peer, revision in sorted(self._peer_revisions.items())
            if revision > self._view.revision
        ]
        return self._random.choice(newer_peers or self._peers)

    def _request_page(self, after):
        pull = self._pull
        pull.after = after
        if pull.timer is not None:
            pull.timer.cancel()
        pull.timer = self._clock.call_later(
            self._settings.pull_timeout, self._retry_with_other_peer
        )
        message = PullCatalogue(pull.since, after, self._view.kinds)
        self._send(pull.peer, message)

    def _request_next_page(self, delta):
        if delta.more in self._pull.requested_cursors:
            return
        try:
            cursor = PageCursor.parse(delta.more)
        except ValueError:
            self._retry_with_other_peer()
            return
        self._pull.requested_cursors.add(delta.more)
        self._pull.compacted_revision = cursor.compacted_revision
        self._request_page(delta.more)

    def _finish(self, peer, delta):
        pull = self._pull
        self.stop()
        self._refusing_peers.clear()
        self.last_answer_at = self._clock.monotonic()
        self._peer_revisions[peer] = delta.revision
        if self._snapshot is not None:
            self._finish_snapshot(pull, delta)
        else:
            if not self._view.is_complete:
                self._view.raise_compacted_revision(
                    _get_compacted_revision(pull, delta)
                )
            self._view.advance(delta.revision)
        if max(self._peer_revisions.values()) > self._view.revision:
            self.pull()

    def _finish_snapshot(self, pull, delta):
        snapshot, self._snapshot = self._snapshot, None
        if delta.revision < self._view.revision:
            # The snapshot is older than the view; a snapshot of another peer is needed.
            return
        snapshot.raise_compacted_revision(_get_compacted_revision(pull, delta))
        snapshot.advance(delta.revision)
        versions_before = _get_versions(self._view)
        self._view.replace_with(snapshot)
        self._on_replaced(versions_before)

    def _handle_refusal(self, peer, delta):
        requested_since = self._pull.since
        self.stop()
        self._peer_revisions.pop(peer, None)
        if delta.since == 0 and requested_since > 0:
            self._refusing_peers.add(peer)
            required = min(self._settings.refusals_before_snapshot, len(self._peers))
            if len(self._refusing_peers) >= required:
                self._refusing_peers.clear()
                self._snapshot = CatalogueView(self._view.kinds)

    def _retry_with_other_peer(self):
        peer = self._pull.peer
        self.stop()
        self._peer_revisions.pop(peer, None)
        if self._snapshot is not None:
            # Pages of two snapshots must not be mixed: neither has all tombstones.
            self._snapshot = CatalogueView(self._view.kinds)
        others = [other for other in self._peers if other != peer]
        if others:
            self.pull(self._random.choice(others))


class _PullState:
    def __init__(self, peer, since):
        self.peer = peer
        self.since = since
        self.after = ""
        self.requested_cursors = set()
        self.compacted_revision = None
        self.timer = None


def _get_compacted_revision(pull, delta):
    # Without a cursor the peer's compacted revision is unknown; its revision is an
    # upper bound.
    return (
        delta.revision if pull.compacted_revision is None else pull.compacted_revision
    )


def _get_versions(view):
    return {
        (kind, name): view.get_current_version(kind, name)
        for kind in view.kinds
        for name in view.names(kind)
    }
