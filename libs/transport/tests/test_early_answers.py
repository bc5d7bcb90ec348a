"""Servers that answer before they have read the whole request, and close."""

import asyncio
import socket
import struct
import unittest

from balsamspoke_transport.clock import ReactorClock
from balsamspoke_transport.exceptions import ReplyBroken
from balsamspoke_transport.http_requests import Endpoint, HttpRequest
from balsamspoke_transport.pool import ConnectionPool
from twisted.internet.defer import Deferred

from .real_reactor import RealReactorTests

PART = b"p" * 15_000
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\n"
STREAM = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
FRAMED = b"HTTP/1.1 200 OK\r\nContent-Length: 40000\r\n\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4e20\r\n"
REFUSAL = b"HTTP/1.1 503 No\r\nNot-Run: 1\r\n\r\n"
HEADS = (UNFRAMED, STREAM, FRAMED, CHUNKED, REFUSAL)
# The server's window holds less than any of these.
UPLOAD_BYTES = (60_000, 400_000, 2_000_000)
WINDOW_BYTES = 8_192
# More than the kernel takes before the server reads it.
LONG_UPLOAD_BYTES = 16_000_000
DELAYS = (0.0, 0.02)
READ_BYTES = 65_536


def reset(handle):
    """Close a connection with a reset."""
    linger = struct.pack("ii", 1, 0)
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    handle.close()


def close_after_reading(handle):
    """Read all that has come, and close; the kernel resets what comes later."""
    try:
        while handle.recv(READ_BYTES):
            pass
    except BlockingIOError:
        handle.close()


class EarlyAnswerTests(RealReactorTests):
    async def serve(self, listener, head, finish):
        """Answer after the first bytes of a request, and finish the connection."""
        handle, _ = await self.loop.sock_accept(listener)
        await self.loop.sock_recv(handle, 100)
        await self.loop.sock_sendall(handle, head + PART)
        await finish(handle)

    async def call(self, head, size, finish):
        """Return the body and ``whole`` or ``broken`` of the answer to an upload."""
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
            listener.setblocking(False)
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            serving = self.loop.create_task(self.serve(listener, head, finish))
            pool = ConnectionPool(self.reactor, ReactorClock(self.reactor), b"id")
            request = HttpRequest(b"POST", b"/a", ((b"Host", b"x"),), b"b" * size)
            exchange = pool.send(Endpoint(*listener.getsockname()), request)
            answer = await self.read(exchange)
            exchange.abort()
            await serving
            return answer

    async def read(self, exchange):
        body = b""
        try:
            await Deferred.asFuture(exchange.read_head(), self.loop)
            while piece := await Deferred.asFuture(exchange.read_piece(), self.loop):
                body += piece
        except ReplyBroken:
            return body, "broken"
        return body, "whole"

    async def check_broken(self, finish_after):
        for head in HEADS:
            for size in UPLOAD_BYTES:
                for delay in DELAYS:
                    with self.subTest(head=head, size=size, delay=delay):
                        finish = finish_after(delay)
                        _, end = await self.call(head, size, finish)
                        self.assertEqual(end, "broken")

    def test_a_part_before_a_reset_is_no_whole_answer(self):
        def finish_after(delay):
            async def finish(handle):
                await asyncio.sleep(delay)
                reset(handle)

            return finish

        self.run_until_done(self.check_broken(finish_after))

    def test_a_part_before_a_close_with_unread_bytes_is_no_whole_answer(self):
        def finish_after(delay):
            async def finish(handle):
                await asyncio.sleep(delay)
                handle.close()

            return finish

        self.run_until_done(self.check_broken(finish_after))

    def test_a_part_before_a_close_that_resets_the_upload_is_no_whole_answer(self):
        async def finish(handle):
            close_after_reading(handle)

        async def check():
            for head in HEADS:
                with self.subTest(head=head):
                    _, end = await self.call(head, LONG_UPLOAD_BYTES, finish)
                    self.assertEqual(end, "broken")

        self.run_until_done(check())

    # The part came as a whole answer, as the reset came after the close.
    def test_a_part_before_a_half_close_and_a_reset_is_no_whole_answer(self):
        def finish_after(delay):
            async def finish(handle):
                handle.shutdown(socket.SHUT_WR)
                await asyncio.sleep(delay)
                reset(handle)

            return finish

        self.run_until_done(self.check_broken(finish_after))

    def test_an_answer_is_whole_if_its_server_reads_on_to_the_end(self):
        async def finish(handle):
            handle.shutdown(socket.SHUT_WR)
            while await self.loop.sock_recv(handle, READ_BYTES):
                pass
            handle.close()

        async def check():
            for size in UPLOAD_BYTES:
                for head in (UNFRAMED, STREAM, REFUSAL):
                    with self.subTest(head=head, size=size):
                        answer = await self.call(head, size, finish)
                        self.assertEqual(answer, (PART, "whole"))

        self.run_until_done(check())

    def test_an_answer_is_whole_if_the_upload_was_read_before_it(self):
        async def finish(handle):
            handle.close()

        async def serve(listener, head, _):
            handle, _ = await self.loop.sock_accept(listener)
            received = b""
            while not received.endswith(b"b" * 60_000):
                received += await self.loop.sock_recv(handle, READ_BYTES)
            await self.loop.sock_sendall(handle, head + PART)
            handle.close()

        self.serve = serve
        answer = self.run_until_done(self.call(UNFRAMED, 60_000, finish))
        self.assertEqual(answer, (PART, "whole"))


if __name__ == "__main__":
    unittest.main()
