"""Client for small HTTP requests whose responses are read whole."""

from datetime import timedelta

from balsamspoke_types.timing import add_timeout

from .exceptions import ReplyBroken, ReplyOverdue
from .http_requests import BufferedResponse, HttpRequest

# Longest body, and longest time from its first to its last piece. A server that never
# ends its response must neither fill the memory nor hold up the caller.
MAX_RESPONSE_BYTES = 8_388_608
MAX_RESPONSE_TIME = timedelta(seconds=10)


class BufferedHttpClient:
    """Send requests to one server and return complete responses.

    Parameters
    ----------
    pool : ConnectionPool
        Provides the connections.
    endpoint : Endpoint
        Address of the server.
    clock : Clock
        Schedules the timeouts.
    """

    def __init__(self, pool, endpoint, clock):
        self._pool = pool
        self._endpoint = endpoint
        self._clock = clock
        self._host = f"{endpoint.ip}:{endpoint.port}".encode()

    async def call(self, method, path, body, head_timeout, piece_timeout):
        """Send a request and read its response.

        Parameters
        ----------
        method, path : bytes
            The request line.
        body : bytes
            JSON; empty for none.
        head_timeout : timedelta
            Time limit for the head of the response.
        piece_timeout : timedelta
            Time limit for each piece of the response's body.

        Returns
        -------
        BufferedResponse

        Raises
        ------
        ConnectionFailed
            If no connection could be made; nothing was sent.
        ReplyOverdue
            If the server does not respond in time.
        ReplyBroken
            If the response is incomplete, malformed or too long.
        """
        fields = [(b"Host", self._host)]
        if body:
            fields.append((b"Content-Type", b"application/json"))
        request = HttpRequest(method, path, tuple(fields), body)
        exchange = self._pool.send(self._endpoint, request)
        try:
            head = await self._limit(exchange.read_head(), head_timeout)
            body = await self._read_body(exchange, piece_timeout)
        except ReplyOverdue:
            # The others may have gone silent with this one.
            self._pool.close_idle(self._endpoint)
            raise
        finally:
            exchange.abort()
        return BufferedResponse(head, body)

    async def _read_body(self, exchange, piece_timeout):
        """Read the body of a response, within the bounds of its size and time."""
        pieces = []
        try:
            await self._read_pieces(exchange, piece_timeout, pieces)
            return b"".join(pieces)
        finally:
            # An error keeps this frame, and with it the list, until it is collected.
            pieces.clear()

    async def _read_pieces(self, exchange, piece_timeout, pieces):
        """Append the pieces of the body to a list."""
        deadline = self._clock.monotonic() + MAX_RESPONSE_TIME
        size = 0
        while True:
            time_left = deadline - self._clock.monotonic()
            if time_left <= timedelta(0):
                # Pieces that come in each turn of the event loop cancel each timer.
                raise ReplyBroken(f"the response exceeds {MAX_RESPONSE_TIME}")
            timeout = min(piece_timeout, time_left)
            piece = await self._limit(exchange.read_piece(), timeout)
            if not piece:
                return
            pieces.append(piece)
            size += len(piece)
            if size > MAX_RESPONSE_BYTES:
                raise ReplyBroken(f"the response exceeds {MAX_RESPONSE_BYTES} bytes")

    def _limit(self, reading, timeout):
        error = ReplyOverdue("timed out waiting for the response")
        return add_timeout(reading, self._clock, timeout, error)
