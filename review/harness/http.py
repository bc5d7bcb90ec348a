"""A small HTTP/1.1 server for stand-ins, on asyncio streams."""

import asyncio
import contextlib
import json
import socket
import struct
from dataclasses import dataclass

# A closed connection is reset instead of ended in good order.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclass
class Request:
    """A request that a stand-in has read.

    Attributes
    ----------
    method, target : str
        The request line.
    headers : dict
        Values by name in lower case; the last one of each name.
    body : bytes
        The whole body.
    """

    method: str
    target: str
    headers: dict
    body: bytes

    @property
    def path(self):
        """Path without the query."""
        return self.target.partition("?")[0]

    @property
    def query(self):
        """Fields of the query by name."""
        text = self.target.partition("?")[2]
        return dict(part.split("=", 1) for part in text.split("&") if "=" in part)


async def read_head(reader):
    """Return the first line and the headers of a message; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = [line.partition(":") for line in lines[1:] if line]
    return lines[0], {name.lower(): value.strip() for name, _, value in fields}


async def read_request(reader):
    """Return the next Request of a connection; None if there is none."""
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    try:
        body = await reader.readexactly(int(head[1].get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, head[1], body)


def format_answer(status, body=b"", headers=()):
    """Return the bytes of a whole answer."""
    fields = [f"{name}: {value}" for name, value in headers]
    fields.append(f"Content-Length: {len(body)}")
    return "\r\n".join([f"HTTP/1.1 {status} X", *fields, "", ""]).encode() + body


def format_json(status, content, headers=()):
    """Return the bytes of an answer with a JSON body."""
    fields = [("Content-Type", "application/json"), *headers]
    return format_answer(status, json.dumps(content).encode(), fields)


def reset(writer):
    """Reset a connection."""
    handle = writer.get_extra_info("socket")
    if handle is not None:
        with contextlib.suppress(OSError):
            handle.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    writer.transport.abort()


class Server:
    """Serve requests one after the other on each connection.

    Subclasses implement ``answer``.
    """

    def __init__(self):
        self._server = None
        self.writers = set()

    async def listen(self, ip, port):
        """Accept connections at an address."""
        self._server = await asyncio.start_server(self._serve, ip, port)

    def close(self):
        """Stop listening, and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self.writers):
            reset(writer)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                if not await self.answer(request, reader, writer):
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request, reader, writer):
        """Answer a Request; return whether the connection stays open."""
        raise NotImplementedError
