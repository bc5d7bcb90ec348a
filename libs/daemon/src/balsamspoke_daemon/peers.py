"""Messages between processes over gRPC: one stream for each connection."""

import asyncio
from collections import deque

import grpc
from balsamspoke_types.identifiers import ProcessId
from balsamspoke_types.ports import PeerTransport
from balsamspoke_wire import WireError, decode_batch, encode_batch, encode_hello
from loguru import logger

from .exceptions import PeerProtocolError

METHOD_SERVICE = "balsamspoke.Peer"
METHOD_NAME = "Connect"
METHOD_PATH = f"/{METHOD_SERVICE}/{METHOD_NAME}"

FLUSH_SECONDS = 0.002
MAXIMUM_UNSENT = 50_000
MAXIMUM_BATCH = 2_000
RECONNECT_SECONDS = (0.1, 2.0)
HELLO_SECONDS = 3.0

_CHANNEL_OPTIONS = (
    ("grpc.keepalive_time_ms", 5_000),
    ("grpc.keepalive_timeout_ms", 5_000),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.min_ping_interval_without_data_ms", 4_000),
    ("grpc.http2.min_recv_ping_interval_without_data_ms", 3_000),
    ("grpc.max_receive_message_length", 8 * 1024 * 1024),
    ("grpc.max_send_message_length", 8 * 1024 * 1024),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.so_reuseport", 0),
)


class _Link:
    """One open stream; collects what is sent in a short time into one message."""

    def __init__(self, loop, write):
        self._loop = loop
        self._write = write
        self._unsent = deque()
        self._wake = asyncio.Event()
        self._next_flush = 0.0
        self.bytes_sent = 0
        self.overflowed = False

    def send(self, message):
        if len(self._unsent) >= MAXIMUM_UNSENT:
            self.overflowed = True
        self._unsent.append(message)
        if len(self._unsent) == 1:
            self._schedule_flush()

    def _schedule_flush(self):
        """Write at once after a quiet time, else when the interval has passed."""
        now = self._loop.time()
        if now >= self._next_flush:
            self._next_flush = now + FLUSH_SECONDS
            self._loop.call_soon(self._wake.set)
        else:
            self._loop.call_at(self._next_flush, self._wake.set)
            self._next_flush += FLUSH_SECONDS

    async def write_forever(self):
        while not self.overflowed:
            await self._wake.wait()
            self._wake.clear()
            while self._unsent:
                count = min(len(self._unsent), MAXIMUM_BATCH)
                batch = [self._unsent.popleft() for _ in range(count)]
                data = encode_batch(batch)
                self.bytes_sent += len(data)
                await self._write(data)
        raise PeerProtocolError("the peer reads too slowly")


class GrpcTransport(PeerTransport):
    """Carry messages between processes over gRPC.

    Parameters
    ----------
    process : ProcessId
        This run.
    loop : asyncio.AbstractEventLoop
        The loop that everything runs on.
    random_source : random.Random
        Spreads reconnections.
    credentials : PeerCredentials
        How connections are protected.
    """

    def __init__(self, process, loop, random_source, credentials):
        self._process = process
        self._loop = loop
        self._random = random_source
        self._credentials = credentials
        self._handler = None
        self._dialers = {}
        self._links = {}
        self._server = None
        self.bytes_sent = 0
        self.bytes_received = 0

    def bind(self, handler):
        """Name the handler."""
        self._handler = handler

    async def listen(self, address):
        """Take connections on ``ip:port``; return the port.

        Raises
        ------
        RuntimeError
            If the address is in use.
        """
        self._server = grpc.aio.server(options=_CHANNEL_OPTIONS)
        handler = grpc.stream_stream_rpc_method_handler(self._serve)
        generic = grpc.method_handlers_generic_handler(
            METHOD_SERVICE, {METHOD_NAME: handler}
        )
        self._server.add_generic_rpc_handlers((generic,))
        port = self._credentials.add_port(self._server, address)
        await self._server.start()
        return port

    async def close(self):
        """End all connections."""
        for vm_id in list(self._dialers):
            self.disconnect(vm_id)
        if self._server is not None:
            await self._server.stop(grace=0)

    def connect(self, vm):
        """Keep a connection to the process on a VM."""
        known = self._dialers.get(vm.vm)
        if known is not None and known[0] == vm.address:
            return
        if known is not None:
            known[1].cancel()
        task = self._loop.create_task(self._dial_forever(vm.address))
        self._dialers[vm.vm] = (vm.address, task)

    def disconnect(self, vm_id):
        """Stop keeping a connection."""
        _, task = self._dialers.pop(vm_id, (None, None))
        if task is not None:
            task.cancel()

    def send(self, peer, message):
        """Send a message on the first open stream, or drop it."""
        links = self._links.get(peer)
        if links:
            links[0].send(message)

    async def _dial_forever(self, address):
        wait = RECONNECT_SECONDS[0]
        while True:
            try:
                await self._dial(address)
                wait = RECONNECT_SECONDS[0]
            except (grpc.RpcError, WireError, PeerProtocolError, TimeoutError):
                logger.trace("no connection to {}", address)
            await asyncio.sleep(wait * (0.5 + self._random.random()))
            wait = min(wait * 2, RECONNECT_SECONDS[1])

    async def _dial(self, address):
        channel = self._credentials.open_channel(address, _CHANNEL_OPTIONS)
        async with channel:
            call = channel.stream_stream(METHOD_PATH)()
            try:
                await self._run(call.read, call.write, grpc.aio.EOF)
            finally:
                call.cancel()

    async def _serve(self, _, context):
        try:
            await self._run(context.read, context.write, grpc.aio.EOF)
        except (WireError, PeerProtocolError, TimeoutError):
            logger.debug("a peer's connection was dropped")

    async def _run(self, read, write, end):
        async with asyncio.timeout(HELLO_SECONDS):
            await write(encode_hello(self._process))
            first = await read()
        peer, rest = _read_hello(first, end)
        link = _Link(self._loop, write)
        writing = self._loop.create_task(link.write_forever())
        self._add_link(peer, link)
        try:
            self._deliver(peer, rest)
            await self._read_forever(peer, read, end, writing)
        finally:
            writing.cancel()
            self._remove_link(peer, link)

    async def _read_forever(self, peer, read, end, writing):
        while not writing.done():
            data = await read()
            if data is end:
                return
            self.bytes_received += len(data)
            self._deliver(peer, decode_batch(data))

    def _deliver(self, peer, batch):
        for message in batch:
            try:
                self._handler.peer_message(peer, message)
            except Exception:
                # One message that can't be handled must not end the stream.
                logger.exception("a {} failed", type(message).__name__)

    def _add_link(self, peer, link):
        links = self._links.setdefault(peer, [])
        links.append(link)
        if len(links) == 1:
            self._handler.peer_connected(peer)

    def _remove_link(self, peer, link):
        links = self._links[peer]
        links.remove(link)
        self.bytes_sent += link.bytes_sent
        if not links:
            del self._links[peer]
            self._handler.peer_disconnected(peer)

    def count_bytes_sent(self):
        """Return the bytes of all messages sent so far."""
        open_links = [link for links in self._links.values() for link in links]
        return self.bytes_sent + sum(link.bytes_sent for link in open_links)


def _read_hello(data, end):
    if data is end:
        raise PeerProtocolError("the connection ended before its hello")
    first, *rest = decode_batch(data) or [None]
    if not isinstance(first, ProcessId):
        raise PeerProtocolError("the connection opened without a hello")
    return first, rest
