import unittest
from dataclasses import dataclass
from datetime import timedelta

import orjson
from balsamspoke_daemon.callers import CallerFactory
from balsamspoke_node import Exchange
from twisted.internet.address import IPv4Address
from twisted.internet.error import ConnectionDone
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

ADDRESS = IPv4Address("TCP", "127.0.0.1", 1)


@dataclass(frozen=True)
class PortSettings:
    maximum_body_bytes: int = 2048
    header_timeout: timedelta = timedelta(seconds=5)
    maximum_connections: int = 2


class RecordingExchange(Exchange):
    def __init__(self):
        self.calls = []

    def cancel(self):
        self.calls.append("cancel")

    def pause(self):
        self.calls.append("pause")

    def resume(self):
        self.calls.append("resume")


class RecordingNode:
    is_ready = True

    def __init__(self):
        self.requests = []
        self.responders = []
        self.exchanges = []

    def handle(self, request, responder):
        self.requests.append(request)
        self.responders.append(responder)
        self.exchanges.append(RecordingExchange())
        return self.exchanges[-1]


class CallerFactoryTest(unittest.TestCase):
    def setUp(self):
        self.node = RecordingNode()
        self.clock = Clock()
        self.factory = CallerFactory(self.node, PortSettings(), self.clock)
        self.connect()

    def connect(self):
        self.protocol = self.factory.buildProtocol(ADDRESS)
        if self.protocol is not None:
            self.transport = StringTransport(peerAddress=ADDRESS)
            self.protocol.makeConnection(self.transport)

    def send(self, data):
        self.protocol.dataReceived(data)

    def read_refusal(self):
        head, _, body = self.transport.value().partition(b"\r\n\r\n")
        return int(head.split()[1]), orjson.loads(body)["error"]

    def test_the_node_receives_the_complete_request(self):
        self.send(b"POST /v1/completions HTTP/1.1\r\nHost: a\r\nX-One: 1\r\n")
        self.send(b"Content-Length: 4\r\n\r\nab")
        self.assertEqual(self.node.requests, [])
        self.send(b"cd")
        request = self.node.requests[0]
        self.assertEqual((request.method, request.body), ("POST", b"abcd"))
        self.assertEqual(request.find_header("x-one"), "1")

    def test_a_response_is_sent(self):
        self.send(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
        responder = self.node.responders[0]
        responder.start(200, (("x-kind", "good"), ("content-length", "2")))
        responder.write(b"ok")
        responder.end()
        self.assertIn(b"200 OK", self.transport.value())
        self.assertTrue(self.transport.value().endswith(b"\r\n\r\nok"))

    def test_an_aborted_response_has_no_final_chunk(self):
        self.send(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
        responder = self.node.responders[0]
        responder.start(200, ())
        responder.write(b"part")
        responder.abort()
        self.assertNotIn(b"0\r\n\r\n", self.transport.value())
        self.assertTrue(self.transport.disconnecting)

    def test_a_large_content_length_is_refused_before_the_body(self):
        self.send(b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 9999\r\n\r\n")
        status, error = self.read_refusal()
        self.assertEqual((status, error["code"]), (413, "request_too_large"))
        self.assertEqual(error["outcome"], "not-run")
        self.assertTrue(self.transport.disconnecting)
        self.assertEqual(self.node.requests, [])

    def test_a_chunked_body_over_the_limit_is_refused(self):
        self.send(b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")
        for _ in range(3):
            self.send(b"3e8\r\n" + b"x" * 1000 + b"\r\n")
        self.assertEqual(self.read_refusal()[1]["code"], "request_too_large")
        self.assertEqual(self.node.requests, [])

    def test_an_incomplete_request_is_refused_after_the_timeout(self):
        self.send(b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nab")
        for _ in range(6):
            self.clock.advance(1)
            if not self.transport.disconnecting:
                self.send(b"c")
        self.assertEqual(self.read_refusal()[1]["code"], "malformed_request")
        self.assertTrue(self.transport.disconnecting)
        self.assertEqual(self.node.requests, [])

    def test_connections_over_the_limit_are_closed(self):
        first = self.protocol
        self.connect()
        self.connect()
        self.assertIsNone(self.protocol)
        first.connectionLost(Failure(ConnectionDone()))
        self.connect()
        self.assertIsNotNone(self.protocol)

    def test_a_lost_connection_cancels_the_exchange(self):
        self.send(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
        self.protocol.connectionLost(Failure(ConnectionDone()))
        self.assertIn("cancel", self.node.exchanges[0].calls)

    def test_backpressure_pauses_the_exchange(self):
        self.send(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
        self.transport.producer.pauseProducing()
        self.transport.producer.resumeProducing()
        self.assertEqual(self.node.exchanges[0].calls, ["pause", "resume"])

    def test_a_path_that_is_not_ascii_is_refused(self):
        self.send(b"GET /\xff\xfe HTTP/1.1\r\nHost: a\r\n\r\n")
        self.assertEqual(self.read_refusal()[1]["code"], "malformed_request")

    def test_health_check_reports_readiness(self):
        self.send(b"GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n")
        self.assertIn(b"200 OK", self.transport.value())
        self.node.is_ready = False
        self.transport.clear()
        self.send(b"GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n")
        self.assertIn(b"503", self.transport.value())
