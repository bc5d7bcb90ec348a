"""The port for messages between our processes."""

from abc import ABC, abstractmethod


class PeerHandler(ABC):
    """What a node core is told by its transport."""

    @abstractmethod
    def peer_connected(self, peer):
        """Note that messages can be sent to a ProcessId."""

    @abstractmethod
    def peer_disconnected(self, peer):
        """Note that the connection to a ProcessId is lost.

        Messages sent before may still arrive there, or be lost.
        """

    @abstractmethod
    def peer_message(self, peer, message):
        """Take a message that a ProcessId sent."""


class PeerTransport(ABC):
    """Best-effort messages between processes.

    A message arrives at most as often as the network doubles it, or never, and
    late ones may arrive after a disconnection. Nothing is promised of order.
    """

    @abstractmethod
    def bind(self, handler):
        """Name the PeerHandler that is told of events; called once."""

    @abstractmethod
    def connect(self, vm):
        """Keep a connection to the process on a VmRecord; idempotent."""

    @abstractmethod
    def disconnect(self, vm_id):
        """Stop keeping a connection to the process on a VM."""

    @abstractmethod
    def send(self, peer, message):
        """Send a message to a ProcessId; dropped silently if it can't be sent."""
