"""Port for messages between the processes."""

from abc import ABC, abstractmethod


class PeerHandler(ABC):
    """Receiver of the events of a PeerTransport."""

    @abstractmethod
    def peer_connected(self, peer):
        """Handle a new connection; messages can now be sent to this ProcessId."""

    @abstractmethod
    def peer_disconnected(self, peer):
        """Handle the loss of the connection to a ProcessId.

        Messages sent before may still be delivered or be lost.
        """

    @abstractmethod
    def peer_message(self, peer, message):
        """Handle a message from a ProcessId."""


class PeerTransport(ABC):
    """Best-effort delivery of messages between processes.

    A message may be lost, duplicated by the network, reordered, or delivered after a
    disconnection.
    """

    @abstractmethod
    def bind(self, handler):
        """Set the PeerHandler that receives events; called once."""

    @abstractmethod
    def connect(self, vm):
        """Maintain a connection to the process of a VmRecord; idempotent."""

    @abstractmethod
    def disconnect(self, vm_id):
        """Stop maintaining the connection to the process on the VM with an id."""

    @abstractmethod
    def send(self, peer, message):
        """Send a message to a ProcessId; it is dropped silently if it can't be sent."""
