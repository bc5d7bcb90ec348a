"""Messages between processes over gRPC: one bidirectional stream per connection."""

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

FLUSH_INTERVAL_SECONDS = 0.002
MAX_QUEUED_MESSAGES = 50_000
MAX_BATCH_MESSAGES = 2_000
RECONNECT_BACKOFF_SECONDS = (0.1, 2.0)  # initial and maximum
HELLO_TIMEOUT_SECONDS = 3.0

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


class _Stream:
    """An open stream; writes the messages of a flush interval in batches."""

    def __init__(self, loop, write):
        self._loop = loop
        self._write = write
        self._queue = deque()
        self._wake = asyncio.Event()
        self._next_flush = 0.0
        self.bytes_sent = 0
        self.has_overflowed = False

    def send(self, message):
        if len(self._queue) >= MAX_QUEUED_MESSAGES:
            self.has_overflowed = True
        self._queue.append(message)
        if len(self._queue) == 1:
            self._schedule_flush()

    def _schedule_flush(self):
        """Flush now if the last interval has passed, else at its end."""
        now = self._loop.time()
        if now >= self._next_flush:
            self._next_flush = now + FLUSH_INTERVAL_SECONDS
            self._loop.call_soon(self._wake.set)
        else:
            self._loop.call_at(self._next_flush, self._wake.set)
            self._next_flush += FLUSH_INTERVAL_SECONDS

    async def write_forever(self):
        while not self.has_overflowed:
            await self._wake.wait()
            self._wake.clear()
            while self._queue:
                count = min(len(self._queue), MAX_BATCH_MESSAGES)
                batch = [self._queue.popleft() for _ in range(count)]
                data = encode_batch(batch)
                self.bytes_sent += len(data)
                await self._write(data)
        raise PeerProtocolError("the peer reads too slowly: its send queue overflowed")


class GrpcTransport(PeerTransport):
    """Send and receive messages between processes over gRPC.

    Two processes can have several streams, for example one opened by each side;
    messages are sent on the oldest.

    Parameters
    ----------
    process : ProcessId
        Identity of this run, sent to peers as the hello.
    loop : asyncio.AbstractEventLoop
        Runs the connections.
    random_source : random.Random
        Source of the jitter of reconnections.
    credentials : PeerCredentials
        Transport security of the connections.

    Attributes
    ----------
    bytes_sent : int
        Bytes sent on streams that are closed by now; see ``count_bytes_sent``.
    bytes_received : int
        Bytes received on all streams, without the first batch of each, which has
        the hello.
    """

    def __init__(self, process, loop, random_source, credentials):
        self._process = process
        self._loop = loop
        self._random = random_source
        self._credentials = credentials
        self._handler = None
        self._dialers = {}
        self._streams = {}
        self._server = None
        self.bytes_sent = 0
        self.bytes_received = 0

    def bind(self, handler):
        """Set the PeerHandler that receives connection events and messages."""
        self._handler = handler

    async def listen(self, address):
        """Accept connections on ``ip:port``; return the bound port.

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
        """Close all connections and stop listening."""
        for vm_id in list(self._dialers):
            self.disconnect(vm_id)
        if self._server is not None:
            await self._server.stop(grace=0)

    def connect(self, vm):
        """Maintain a connection to the process at a VmRecord's address; idempotent."""
        current = self._dialers.get(vm.vm)
        if current is not None and current[0] == vm.address:
            return
        if current is not None:
            current[1].cancel()
        task = self._loop.create_task(self._dial_forever(vm.address))
        self._dialers[vm.vm] = (vm.address, task)

    def disconnect(self, vm_id):
        """Stop maintaining the connection to the process on a VM."""
        _, task = self._dialers.pop(vm_id, (None, None))
        if task is not None:
            task.cancel()

    def send(self, peer, message):
        """Send a message on the oldest open stream; drop it if no stream is open."""
        streams = self._streams.get(peer)
        if streams:
            streams[0].send(message)

    async def _dial_forever(self, address):
        backoff = RECONNECT_BACKOFF_SECONDS[0]
        while True:
            try:
                await self._dial(address)
                backoff = RECONNECT_BACKOFF_SECONDS[0]
            except (grpc.RpcError, WireError, PeerProtocolError, TimeoutError):
                logger.trace(
                    "connecting to {} failed, or its connection ended", address
                )
            await asyncio.sleep(backoff * (0.5 + self._random.random()))
            backoff = min(backoff * 2, RECONNECT_BACKOFF_SECONDS[1])

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
            logger.debug("closed an incoming connection: protocol error or timeout")

    async def _run(self, read, write, end):
        async with asyncio.timeout(HELLO_TIMEOUT_SECONDS):
            await write(encode_hello(self._process))
            first = await read()
        peer, messages = _read_hello(first, end)
        stream = _Stream(self._loop, write)
        writing = self._loop.create_task(stream.write_forever())
        self._add_stream(peer, stream)
        try:
            self._deliver(peer, messages)
            await self._read_forever(peer, read, end, writing)
        finally:
            writing.cancel()
            self._remove_stream(peer, stream)

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
                # A message whose handling fails must not end the stream.
                logger.exception("handling a {} failed", type(message).__name__)

    def _add_stream(self, peer, stream):
        streams = self._streams.setdefault(peer, [])
        streams.append(stream)
        if len(streams) == 1:
            self._handler.peer_connected(peer)

    def _remove_stream(self, peer, stream):
        streams = self._streams[peer]
        streams.remove(stream)
        self.bytes_sent += stream.bytes_sent
        if not streams:
            del self._streams[peer]
            self._handler.peer_disconnected(peer)

    def count_bytes_sent(self):
        """Return the bytes sent on all streams so far, without the hellos."""
        open_streams = [
            stream for streams in self._streams.values() for stream in streams
        ]
        return self.bytes_sent + sum(stream.bytes_sent for stream in open_streams)


def _read_hello(data, end):
    if data is end:
        raise PeerProtocolError("the stream ended before the peer sent its hello")
    first, *rest = decode_batch(data) or [None]
    if not isinstance(first, ProcessId):
        raise PeerProtocolError("the first message on the stream is not a hello")
    return first, rest
