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
        ours, self.theirs = socket.socketpair()
        self.addCleanup(ours.close)
        self.addCleanup(self.theirs.close)
        ours.setblocking(False)
        self.theirs.setblocking(False)
        self.reactor = RecordingReactor()
        port = EagerPort(0, Site(None, reactor=self.reactor), reactor=self.reactor)
        address = ("127.0.0.1", 1)
        self.server = port.transport(ours, Protocol(), address, port, 1, self.reactor)

    def read(self):
        found = b""
        try:
            while piece := self.theirs.recv(1 << 20):
                found += piece
        except BlockingIOError:
            pass
        return found

    def test_small_writes_leave_at_once_and_in_order(self):
        self.server.write(b"a")
        self.server.writeSequence([b"b", b"c"])
        self.assertEqual(self.read(), b"abc")
        self.assertEqual(self.reactor.writers, set())

    def test_what_does_not_fit_waits_for_the_loop_and_keeps_its_order(self):
        self.server.write(LARGE)
        self.server.write(b"end")
        self.assertEqual(self.reactor.writers, {self.server})
        found = self.read()
        while self.reactor.writers:
            self.assertIsNone(self.server.doWrite())
            found += self.read()
        self.assertEqual(found, LARGE + b"end")
        self.server.write(b"again")
        self.assertEqual(self.read(), b"again")

    def test_lost_connection_is_left_to_the_loop(self):
        self.theirs.close()
        self.server.write(b"a")
        self.assertEqual(self.reactor.writers, {self.server})

    def test_close_waits_for_the_loop(self):
        self.server.write(b"a")
        self.server.loseConnection()
        self.assertEqual(self.reactor.writers, {self.server})
        self.assertEqual(self.read(), b"a")

    def test_producer_that_writes_when_asked_does_not_nest(self):
        class Producer:
            left = 5000

            def resumeProducing(producer):
                producer.left -= 1
                if producer.left:
                    self.server.write(b"x")
                else:
                    self.server.unregisterProducer()

        self.server.registerProducer(Producer(), False)
        found = self.read()
        while self.reactor.writers:
            self.assertIsNone(self.server.doWrite())
            found += self.read()
        self.assertEqual(found, b"x" * 4999)
