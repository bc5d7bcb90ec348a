"""Table of open attempts, which dispatches their messages and connection events."""

import itertools
from abc import ABC, abstractmethod
from dataclasses import dataclass

from balsamspoke_types.identifiers import AttemptId, ProcessId
from balsamspoke_types.messages import CancelAttempt

_MAX_PENDING_CANCELS = 100


class AttemptOwner(ABC):
    """Receiver of the messages and connection events of its open attempts."""

    @abstractmethod
    def handle_message(self, attempt, message):
        """Handle a side process's message about an AttemptId."""

    @abstractmethod
    def handle_connection_lost(self, attempt):
        """Handle the loss of the connection to the attempt's side process."""

    @abstractmethod
    def handle_connection_restored(self, attempt):
        """Handle the reconnection of the same instance of the side process."""

    @abstractmethod
    def handle_silence(self, attempt):
        """Handle a side process that doesn't respond although it may be connected."""


@dataclass(frozen=True, slots=True)
class _OpenAttempt:
    """The side process that an open attempt was sent to, and the attempt's owner."""

    peer: ProcessId
    owner: AttemptOwner


class AttemptTable:
    """Open attempts of one entry process, by id and by side process.

    Parameters
    ----------
    process : ProcessId
        This process, the origin in the ids of its attempts.
    send : callable
        Called with a ProcessId and a message to send to it.
    directory : ReplicaDirectory
        Receives connection states and the counts of outstanding attempts.
    """

    def __init__(self, process, send, directory):
        self._process = process
        self._send = send
        self._directory = directory
        self._attempt_numbers = itertools.count(1)
        self._open = {}
        self._by_peer = {}
        self._connected = set()
        self._pending_cancels = {}

    def allocate_id(self):
        """Return a new AttemptId, unique to this process."""
        return AttemptId(self._process, next(self._attempt_numbers))

    def open(self, attempt, peer, owner):
        """Register an attempt that is about to be sent to a side process.

        Parameters
        ----------
        attempt : AttemptId
            The attempt.
        peer : ProcessId
            The side process that it is sent to.
        owner : AttemptOwner
            Receiver of the attempt's messages and events.
        """
        self._open[attempt] = _OpenAttempt(peer, owner)
        self._by_peer.setdefault(peer, set()).add(attempt)
        self._directory.count_sent_attempt(peer)

    def close(self, attempt):
        """Remove an attempt; its later messages and events are dropped."""
        open_attempt = self._open.pop(attempt, None)
        if open_attempt is None:
            return
        attempts = self._by_peer[open_attempt.peer]
        attempts.discard(attempt)
        if not attempts:
            del self._by_peer[open_attempt.peer]
        self._directory.count_ended_attempt(open_attempt.peer)

    def abandon(self, attempt):
        """Close an attempt and cancel it at its side process.

        While the side process is disconnected, the CancelAttempt is kept until the
        same instance reconnects. Only a limited number is kept per side process.
        """
        open_attempt = self._open.get(attempt)
        if open_attempt is None:
            return
        self.close(attempt)
        if open_attempt.peer in self._connected:
            self._send(open_attempt.peer, CancelAttempt(attempt))
            return
        cancels = self._pending_cancels.setdefault(open_attempt.peer, [])
        if len(cancels) < _MAX_PENDING_CANCELS:
            cancels.append(attempt)

    def send(self, attempt, message):
        """Send a message to the side process of an open attempt."""
        self._send(self._open[attempt].peer, message)

    def is_open(self, attempt):
        """Return whether an attempt is open at this process."""
        return attempt in self._open

    def is_connected(self, peer):
        """Return whether a side process is connected."""
        return peer in self._connected

    def handle_message(self, peer, attempt, message):
        """Dispatch a message to the owner if its attempt is open at the sender."""
        open_attempt = self._open.get(attempt)
        if open_attempt is not None and open_attempt.peer == peer:
            open_attempt.owner.handle_message(attempt, message)

    def handle_peer_connected(self, peer):
        """Handle a new connection to a side process."""
        self._connected.add(peer)
        self._directory.set_connected(peer, True)
        for attempt in self._pending_cancels.pop(peer, ()):
            self._send(peer, CancelAttempt(attempt))
        self._drop_cancels_of_older_instances(peer)
        for attempt, open_attempt in self._list_open_attempts(peer):
            open_attempt.owner.handle_connection_restored(attempt)

    def handle_peer_disconnected(self, peer):
        """Handle the loss of a connection; messages in transit may be lost."""
        self._connected.discard(peer)
        self._directory.set_connected(peer, False)
        for attempt, open_attempt in self._list_open_attempts(peer):
            open_attempt.owner.handle_connection_lost(attempt)

    def handle_peer_silent(self, peer):
        """Handle a side process that doesn't respond, connected or not."""
        for attempt, open_attempt in self._list_open_attempts(peer):
            open_attempt.owner.handle_silence(attempt)

    def _drop_cancels_of_older_instances(self, peer):
        for older in [
            peer_id for peer_id in self._pending_cancels if peer_id.vm == peer.vm
        ]:
            del self._pending_cancels[older]

    def _list_open_attempts(self, peer):
        attempts = sorted(self._by_peer.get(peer, ()))
        return [(attempt, self._open[attempt]) for attempt in attempts]
