"""Messages between the system's processes over UDP, one message per datagram."""

from balsamspoke_gateway.admission.messages import (
    AdmissionCancellation,
    AdmissionReply,
    AdmissionRequest,
    PrefillEnded,
)
from balsamspoke_gateway.messages import (
    EntryDemand,
    EntryUsage,
    ReplicaLeaving,
    ReplicaState,
)
from balsamspoke_gateway.ports import PeerSender
from balsamspoke_gateway.quarantine import AnsweredParts, CrashReport, QuarantineUpdate
from balsamspoke_gateway.rate_limiting import (
    ColdNotice,
    PermitReply,
    PermitRequest,
    RateLimitNotice,
)
from balsamspoke_gateway.replica_speed import SlowdownNotice
from balsamspoke_gateway.scheduling.messages import WorkReport
from balsamspoke_gateway.stream_versions import (
    StreamOriginQuery,
    StreamOriginReply,
    StreamStarted,
)
from loguru import logger
from msgspec import DecodeError, ValidationError, msgpack
from twisted.internet.error import InvalidAddressError, MessageLengthError
from twisted.internet.protocol import DatagramProtocol

# The first byte of a datagram is the number of its message type. A number is never
# reused for another type.
_TYPE_NUMBERS = {
    EntryDemand: 1,
    ReplicaState: 2,
    EntryUsage: 3,
    AdmissionRequest: 4,
    AdmissionCancellation: 5,
    AdmissionReply: 6,
    PrefillEnded: 7,
    CrashReport: 8,
    QuarantineUpdate: 9,
    AnsweredParts: 10,
    ReplicaLeaving: 11,
    RateLimitNotice: 12,
    PermitRequest: 13,
    PermitReply: 14,
    StreamStarted: 15,
    StreamOriginQuery: 16,
    StreamOriginReply: 17,
    ColdNotice: 20,
    SlowdownNotice: 18,
    WorkReport: 24,
}
# Bytes of datagrams that are read in one turn of the event loop.
MAX_BYTES_PER_TURN = 8_192
MAX_DATAGRAM_BYTES = 65_536
_DECODERS = {number: msgpack.Decoder(kind) for kind, number in _TYPE_NUMBERS.items()}


class PeerDatagramProtocol(DatagramProtocol, PeerSender):
    """Send and receive messages on a UDP port that is the same on every VM.

    Parameters
    ----------
    port : int
        UDP port of every process.
    on_message : callable
        Called with the sender's IP address and the message.
    """

    noisy = False

    def __init__(self, port, on_message):
        self._port = port
        self._on_message = on_message
        self._encoder = msgpack.Encoder()

    def listen(self, reactor, ip):
        """Listen on the address of this process; return the port.

        Parameters
        ----------
        reactor : IReactorUDP
            Opens the socket.
        ip : str
            IP address of this process's VM.
        """
        port = reactor.listenUDP(self._port, self, ip, maxPacketSize=MAX_DATAGRAM_BYTES)
        port.maxThroughput = MAX_BYTES_PER_TURN
        return port

    def send(self, ip, message):
        """Send a message to the process at an IP address.

        Nothing is sent while this process's own port is closed. Delivery is not
        guaranteed.
        """
        if self.transport is None:
            return
        data = bytes((_TYPE_NUMBERS[type(message)],)) + self._encoder.encode(message)
        try:
            self.transport.write(data, (ip, self._port))
        except (OSError, InvalidAddressError, MessageLengthError) as error:
            # Messages are sent again soon, so one lost to a full buffer or a missing
            # route costs little; one that can't be sent must not keep the others.
            logger.debug("could not send a datagram to {}: {}", ip, error)

    def datagramReceived(self, datagram, address):
        """Decode a message and pass it on; drop a datagram that can't be decoded."""
        decoder = _DECODERS.get(datagram[0]) if datagram else None
        if decoder is None:
            logger.debug("dropped a datagram of unknown type from {}", address[0])
            return
        try:
            message = decoder.decode(datagram[1:])
        except (DecodeError, ValidationError) as error:
            logger.warning("could not decode a datagram from {}: {}", address[0], error)
            return
        self._on_message(address[0], message)
