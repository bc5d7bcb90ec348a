"""Client for small HTTP requests whose responses are read whole."""

from balsamspoke_types.timing import add_timeout

from .exceptions import ReplyBroken
from .http_requests import BufferedResponse, HttpRequest


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
        ReplyBroken
            If the response is late, incomplete or malformed.
        """
        fields = [(b"Host", self._host)]
        if body:
            fields.append((b"Content-Type", b"application/json"))
        request = HttpRequest(method, path, tuple(fields), body)
        exchange = self._pool.send(self._endpoint, request)
        pieces = []
        try:
            head = await self._limit(exchange.read_head(), head_timeout)
            while piece := await self._limit(exchange.read_piece(), piece_timeout):
                pieces.append(piece)
        finally:
            exchange.abort()
        return BufferedResponse(head, b"".join(pieces))

    def _limit(self, reading, timeout):
        error = ReplyBroken("timed out waiting for the response")
        return add_timeout(reading, self._clock, timeout, error)
