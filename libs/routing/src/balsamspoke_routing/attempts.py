"""Attempts that have not ended, and who is told of them."""

import itertools
from abc import ABC, abstractmethod
from dataclasses import dataclass

from balsamspoke_types.identifiers import AttemptId, ProcessId
from balsamspoke_types.messages import CancelAttempt

_REMEMBERED_CANCELS = 100


class AttemptOwner(ABC):
    """What is told of its attempts; only of those that it has not closed."""

    @abstractmethod
    def take_message(self, attempt, message):
        """Take a message about an AttemptId."""

    @abstractmethod
    def lose_connection(self, attempt):
        """Note that the connection to the attempt's side process is lost."""

    @abstractmethod
    def regain_connection(self, attempt):
        """Note that the same run of the side process is connected again."""

    @abstractmethod
    def notice_silence(self, attempt):
        """Note that the connected side process doesn't answer."""


@dataclass(frozen=True, slots=True)
class _OpenAttempt:
    peer: ProcessId
    owner: AttemptOwner


class AttemptTable:
    """The open attempts of one process.

    Parameters
    ----------
    process : ProcessId
        This process; origin of the attempts.
    send : callable
        Sends a message to a ProcessId.
    directory : ReplicaDirectory
        Told of outstanding work and connections.
    """

    def __init__(self, process, send, directory):
        self._process = process
        self._send = send
        self._directory = directory
        self._numbers = itertools.count(1)
        self._open = {}
        self._by_peer = {}
        self._connected = set()
        self._cancels = {}

    def draw_id(self):
        """Return an AttemptId that was never used."""
        return AttemptId(self._process, next(self._numbers))

    def open(self, attempt, peer, owner):
        """Follow an attempt that is about to be sent to a side process."""
        self._open[attempt] = _OpenAttempt(peer, owner)
        self._by_peer.setdefault(peer, set()).add(attempt)
        self._directory.note_sent(peer)

    def close(self, attempt):
        """Drop all that comes for an attempt from now on."""
        found = self._open.pop(attempt, None)
        if found is None:
            return
        attempts = self._by_peer[found.peer]
        attempts.discard(attempt)
        if not attempts:
            del self._by_peer[found.peer]
        self._directory.note_ended(found.peer)

    def abandon(self, attempt):
        """Close an attempt and tell its side process, now or when it is back."""
        found = self._open.get(attempt)
        if found is None:
            return
        self.close(attempt)
        if found.peer in self._connected:
            self._send(found.peer, CancelAttempt(attempt))
            return
        cancels = self._cancels.setdefault(found.peer, [])
        if len(cancels) < _REMEMBERED_CANCELS:
            cancels.append(attempt)

    def send(self, attempt, message):
        """Send a message to an open attempt's side process."""
        self._send(self._open[attempt].peer, message)

    def is_open(self, attempt):
        """Whether an attempt of this process is open."""
        return attempt in self._open

    def is_connected(self, peer):
        """Whether messages can be sent to a side process."""
        return peer in self._connected

    def take_message(self, peer, attempt, message):
        """Pass a message on, unless it is for an attempt that isn't open there."""
        found = self._open.get(attempt)
        if found is not None and found.peer == peer:
            found.owner.take_message(attempt, message)

    def note_connected(self, peer):
        """Note that a side process can be reached."""
        self._connected.add(peer)
        self._directory.note_connection(peer, True)
        for attempt in self._cancels.pop(peer, ()):
            self._send(peer, CancelAttempt(attempt))
        self._forget_older_runs(peer)
        for attempt, found in self._get_attempts(peer):
            found.owner.regain_connection(attempt)

    def note_disconnected(self, peer):
        """Note that messages to a side process may be lost."""
        self._connected.discard(peer)
        self._directory.note_connection(peer, False)
        for attempt, found in self._get_attempts(peer):
            found.owner.lose_connection(attempt)

    def note_silent(self, peer):
        """Note that a side process doesn't answer, connected or not."""
        for attempt, found in self._get_attempts(peer):
            found.owner.notice_silence(attempt)

    def _forget_older_runs(self, peer):
        for older in [known for known in self._cancels if known.vm == peer.vm]:
            del self._cancels[older]

    def _get_attempts(self, peer):
        attempts = sorted(self._by_peer.get(peer, ()))
        return [(attempt, self._open[attempt]) for attempt in attempts]
