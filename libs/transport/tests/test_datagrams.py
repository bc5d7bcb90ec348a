import asyncio
import socket
import unittest

from balsamspoke_gateway.messages import EntryUsage
from balsamspoke_transport.datagrams import MAX_BYTES_PER_TURN, PeerDatagramProtocol
from balsamspoke_transport.reactor import PunctualReactor
from msgspec import msgpack

USAGE_NUMBER = b"\x03"


class DatagramTests(unittest.TestCase):
    # One peer or replica of such an address kept the messages from those behind it.
    def test_a_message_that_cannot_be_sent_is_dropped(self):
        loop = asyncio.new_event_loop()
        self.addCleanup(loop.close)
        protocol = PeerDatagramProtocol(0, None)
        port = protocol.listen(PunctualReactor(loop), "127.0.0.1")
        self.addCleanup(port.connectionLost)
        protocol._port = port.getHost().port
        long_message = EntryUsage(1, {"t" * 70_000: 1.0})
        for ip in ("::1", "::ffff:127.0.0.1", "fe80::1%zz", "255.255.255.255"):
            with self.subTest(ip=ip):
                protocol.send(ip, EntryUsage(1, {}))
        protocol.send("127.0.0.1", long_message)

    # A storm of small datagrams was handled before anything else could run.
    def test_reads_a_bounded_number_of_bytes_in_a_turn(self):
        loop = asyncio.new_event_loop()
        self.addCleanup(loop.close)
        received = []
        protocol = PeerDatagramProtocol(0, lambda ip, message: received.append(message))
        port = protocol.listen(PunctualReactor(loop), "127.0.0.1")
        self.addCleanup(port.connectionLost)
        datagram = USAGE_NUMBER + msgpack.encode(EntryUsage(1, {}))
        address = port.getHost()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for _ in range(2 * MAX_BYTES_PER_TURN // len(datagram)):
                sender.sendto(datagram, (address.host, address.port))
        port.doRead()
        count = len(received)
        self.assertGreater(count, 0)
        self.assertLessEqual((count - 1) * len(datagram), MAX_BYTES_PER_TURN)
        port.doRead()
        self.assertGreater(len(received), count)


if __name__ == "__main__":
    unittest.main()
