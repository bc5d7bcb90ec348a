import socket
import unittest

from balsamspoke_platform.eager_port import EagerPort
from twisted.internet.protocol import Protocol
from twisted.web.server import Site

LARGE = bytes(range(256)) * 40_000


class RecordingReactor:
    def __init__(self):
        self.writers = set()
        self.readers = set()

    def addWriter(self, writer):
        self.writers.add(writer)

    def removeWriter(self, writer):
        self.writers.discard(writer)

    def addReader(self, reader):
        self.readers.add(reader)

    def removeReader(self, reader):
        self.readers.discard(reader)


class EagerPortTests(unittest.TestCase):
    def setUp(self):
        server_end, self.client_end = socket.socketpair()
        self.addCleanup(server_end.close)
        self.addCleanup(self.client_end.close)
        server_end.setblocking(False)
        self.client_end.setblocking(False)
        self.reactor = RecordingReactor()
        port = EagerPort(0, Site(None, reactor=self.reactor), reactor=self.reactor)
        address = ("127.0.0.1", 1)
        self.server = port.transport(
            server_end, Protocol(), address, port, 1, self.reactor
        )

    def read(self):
        received = b""
        try:
            while piece := self.client_end.recv(1 << 20):
                received += piece
        except BlockingIOError:
            pass
        return received

    def test_small_writes_are_sent_immediately_and_in_order(self):
        self.server.write(b"a")
        self.server.writeSequence([b"b", b"c"])
        self.assertEqual(self.read(), b"abc")
        self.assertEqual(self.reactor.writers, set())

    def test_data_over_the_socket_buffer_waits_for_the_loop_in_order(self):
        self.server.write(LARGE)
        self.server.write(b"end")
        self.assertEqual(self.reactor.writers, {self.server})
        received = self.read()
        while self.reactor.writers:
            self.assertIsNone(self.server.doWrite())
            received += self.read()
        self.assertEqual(received, LARGE + b"end")
        self.server.write(b"again")
        self.assertEqual(self.read(), b"again")

    def test_lost_connection_is_handled_by_the_loop(self):
        self.client_end.close()
        self.server.write(b"a")
        self.assertEqual(self.reactor.writers, {self.server})

    def test_close_waits_for_the_loop(self):
        self.server.write(b"a")
        self.server.loseConnection()
        self.assertEqual(self.reactor.writers, {self.server})
        self.assertEqual(self.read(), b"a")

    def test_producer_that_writes_on_resume_does_not_recurse(self):
        class Producer:
            remaining = 5000

            def resumeProducing(producer):
                producer.remaining -= 1
                if producer.remaining:
                    self.server.write(b"x")
                else:
                    self.server.unregisterProducer()

        self.server.registerProducer(Producer(), False)
        received = self.read()
        while self.reactor.writers:
            self.assertIsNone(self.server.doWrite())
            received += self.read()
        self.assertEqual(received, b"x" * 4999)
