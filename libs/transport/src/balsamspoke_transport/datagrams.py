"""Messages between processes of the system, one a datagram."""

from balsamspoke_gateway.messages import EntryDemand, EntryUsage, ReplicaState
from balsamspoke_gateway.ports import PeerSender
from loguru import logger
from msgspec import DecodeError, ValidationError, msgpack
from twisted.internet.protocol import DatagramProtocol

# The first byte of a datagram tells its message; a number is never used again for
# another one.
_NUMBERS = {EntryDemand: 1, ReplicaState: 2, EntryUsage: 3}
_DECODERS = {number: msgpack.Decoder(kind) for kind, number in _NUMBERS.items()}


class DatagramPeers(DatagramProtocol, PeerSender):
    """Send and receive messages on a UDP port that is the same on every VM.

    Parameters
    ----------
    port : int
        Of all processes.
    on_message : callable
        Called with the sender's ip and the message.
    """

    noisy = False

    def __init__(self, port, on_message):
        self._port = port
        self._on_message = on_message
        self._encoder = msgpack.Encoder()

    def send(self, ip, message):
        """Send a message, if this process has its port."""
        if self.transport is None:
            return
        data = bytes((_NUMBERS[type(message)],)) + self._encoder.encode(message)
        try:
            self.transport.write(data, (ip, self._port))
        except OSError as error:
            # It is repeated soon, so a full buffer or a lost route costs little.
            logger.debug("no datagram to {}: {}", ip, error)

    def datagramReceived(self, datagram, address):
        """Decode a message; what is not one is dropped."""
        decoder = _DECODERS.get(datagram[0]) if datagram else None
        if decoder is None:
            logger.debug("unknown datagram from {}", address[0])
            return
        try:
            message = decoder.decode(datagram[1:])
        except (DecodeError, ValidationError) as error:
            logger.warning("unreadable datagram from {}: {}", address[0], error)
            return
        self._on_message(address[0], message)
