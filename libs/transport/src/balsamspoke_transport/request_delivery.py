"""Whether a server has got the whole request that was written to it."""

import socket
from enum import Enum

from twisted.internet.interfaces import IPullProducer
from zope.interface import implementer

from .send_monitor import read_send_state


class Delivery(Enum):
    """State of the delivery of a request."""

    OPEN = "open"
    """Some of it is not acknowledged yet."""
    DONE = "done"
    """The server has acknowledged all of it."""
    FAILED = "failed"
    """The server has reset the connection."""


@implementer(IPullProducer)
class RequestDelivery:
    """Write requests to a connection, and tell whether they have arrived.

    A transport asks its producer for more once the kernel has taken all that was
    written.

    Parameters
    ----------
    transport : ITCPTransport
        The connection.
    """

    def __init__(self, transport):
        self._transport = transport
        self._is_flushed = True
        self._is_registering = False

    def write(self, pieces):
        """Write the pieces (list of bytes) of a request."""
        self._transport.writeSequence(pieces)
        if self._is_flushed:
            self._is_flushed = False
            self._is_registering = True
            self._transport.registerProducer(self, False)
            self._is_registering = False

    def resumeProducing(self):
        """Note that the kernel has taken all; the first call comes before it has."""
        if not self._is_registering:
            self._is_flushed = True
            self._transport.unregisterProducer()

    def stopProducing(self):
        """Do nothing: the connection is closed, and tells it to its protocol."""

    def find_state(self):
        """Return the Delivery; ``DONE`` if the kernel can't tell."""
        state = read_send_state(self._transport)
        if state is None:
            return Delivery.DONE
        if self._read_error():
            return Delivery.FAILED
        is_done = self._is_flushed and state.is_empty
        return Delivery.DONE if is_done else Delivery.OPEN

    def _read_error(self):
        """Return the error number of the connection's socket; 0 for none."""
        handle = self._transport.getHandle()
        return handle.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
