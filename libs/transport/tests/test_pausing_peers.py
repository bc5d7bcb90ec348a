import asyncio
import socket
import unittest
from datetime import timedelta

from balsamspoke_gateway.configuration import CallerLimits
from balsamspoke_transport.callers import CallerFactory
from balsamspoke_transport.clock import ReactorClock
from balsamspoke_transport.http_requests import Endpoint, HttpRequest
from balsamspoke_transport.pool import ConnectionPool
from twisted.internet.defer import Deferred

from .real_reactor import RealReactorTests

LIMITS = CallerLimits(16_384, 4_194_304, timedelta(seconds=3), timedelta(seconds=15))
# Small windows, so that a peer that does not read blocks the writer.
RECEIVE_BUFFER_BYTES = 2048
BODY_BYTES = 4800
LONG_BODY_BYTES = 400_000
FIRST_READ_BYTES = 512
PAUSE_SECONDS = 2.2
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


def open_socket():
    """Return a non-blocking socket whose peers are blocked soon if it is not read."""
    handle = socket.socket()
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    handle.setblocking(False)
    return handle


class PausingPeerTests(RealReactorTests):
    """Peers that acknowledge everything, and read on only after a pause."""

    def setUp(self):
        super().setUp()
        self.is_closing = False
        self.body = b""

    def answer(self, exchange):
        exchange.start(200, (), len(self.body))
        exchange.write(self.body)
        exchange.finish()

    async def call_with_pause(self, port):
        """Send a request, read the answer with a pause; return the bytes of it."""
        with open_socket() as handle:
            await self.loop.sock_connect(handle, ("127.0.0.1", port))
            request = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
            await self.loop.sock_sendall(handle, request)
            answer = await self.loop.sock_recv(handle, FIRST_READ_BYTES)
            await asyncio.sleep(PAUSE_SECONDS)
            while not answer.endswith(self.body):
                piece = await self.loop.sock_recv(handle, 65_536)
                if not piece:
                    break
                answer += piece
            return answer

    def check_caller(self, size):
        self.body = b"b" * size + b"."
        factory = CallerFactory(
            self.reactor,
            lambda: LIMITS,
            self.answer,
            None,
            None,
            lambda: self.is_closing,
        )
        port = self.reactor.listenTCP(0, factory, interface="127.0.0.1")
        answer = self.run_until_done(self.call_with_pause(port.getHost().port))
        self.assertTrue(answer.endswith(b"\r\n\r\n" + self.body))

    # A closed window counted as a peer that is gone: reset after 1.5 s.
    def test_a_caller_that_pauses_gets_the_rest_of_a_short_answer(self):
        self.check_caller(BODY_BYTES)

    def test_a_caller_that_pauses_gets_the_rest_of_a_long_answer(self):
        self.check_caller(LONG_BODY_BYTES)

    def test_a_caller_that_pauses_gets_the_rest_of_the_last_answer_before_a_stop(self):
        self.is_closing = True
        self.check_caller(BODY_BYTES)

    async def serve_with_pause(self, listener):
        """Accept a request, read it with a pause, and answer it."""
        handle, _ = await self.loop.sock_accept(listener)
        with handle:
            received = await self.loop.sock_recv(handle, FIRST_READ_BYTES)
            await asyncio.sleep(PAUSE_SECONDS)
            while not received.endswith(self.body):
                piece = await self.loop.sock_recv(handle, 65_536)
                if not piece:
                    return
                received += piece
            await self.loop.sock_sendall(handle, RESPONSE)

    async def send_to_pausing_server(self):
        with open_socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            serving = self.loop.create_task(self.serve_with_pause(listener))
            pool = ConnectionPool(self.reactor, ReactorClock(self.reactor), b"id")
            request = HttpRequest(b"POST", b"/a", ((b"Host", b"x"),), self.body)
            exchange = pool.send(Endpoint(*listener.getsockname()), request)
            reading = exchange.read_head()
            head = await Deferred.asFuture(reading, self.loop)
            await serving
            return head

    def test_a_replica_that_pauses_gets_the_rest_of_a_request(self):
        self.body = b"b" * LONG_BODY_BYTES + b"."
        head = self.run_until_done(self.send_to_pausing_server())
        self.assertEqual(head.status, 200)


if __name__ == "__main__":
    unittest.main()
