"""Small calls whose whole answer is read before it is used."""

from balsamspoke_types.timing import limit

from .exceptions import ReplyBroken
from .http_requests import HttpRequest


class WholeCalls:
    """Make calls to one server over a ConnectionPool.

    Parameters
    ----------
    pool : ConnectionPool
        Keeps the connections.
    endpoint : Endpoint
        The server.
    clock : Clock
        Runs the time limits.
    """

    def __init__(self, pool, endpoint, clock):
        self._pool = pool
        self._endpoint = endpoint
        self._clock = clock
        self._host = f"{endpoint.ip}:{endpoint.port}".encode()

    async def call(self, method, path, body, head_timeout, piece_timeout):
        """Return status and body.

        Parameters
        ----------
        method, path, body : bytes
            The request; a body is JSON.
        head_timeout, piece_timeout : timedelta
            For the answer's head, and for each piece of its body.

        Raises
        ------
        ConnectionFailed
            If nothing was sent.
        ReplyBroken
            If no whole answer came in time.
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
        return head.status, b"".join(pieces)

    def _limit(self, waiter, timeout):
        overdue = ReplyBroken("no answer in time")
        return limit(waiter, self._clock, timeout, overdue)
