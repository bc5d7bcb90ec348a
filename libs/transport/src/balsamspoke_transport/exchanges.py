"""A request to a server and the response to it."""

from collections import deque

from twisted.internet.defer import Deferred, fail, succeed

from .exceptions import ReplyBroken

# Reading from a connection pauses while this much of a body waits for its consumer.
MAX_BUFFERED_BYTES = 32_768


class HttpExchange:
    """A request on a connection and the response to it.

    Parameters
    ----------
    request : HttpRequest
        The request to send.
    id_header : bytes
        Response header that echoes the request id, in lower case.
    """

    def __init__(self, request, id_header):
        self.request = request
        self.id_header = id_header
        self._head = Deferred(self._cancel)
        self._pieces = deque()
        self._buffered_bytes = 0
        self._reader = None
        self._is_complete = False
        self._failure = None
        self._connection = None
        self._connecting = None

    def read_head(self):
        """Return a Deferred of the HttpHead; may be called only once.

        It fails with ConnectionFailed or ReplyBroken.
        """
        return self._head

    def read_piece(self):
        """Return a Deferred of the next bytes of the body, empty at its end.

        It fails with ConnectionFailed or ReplyBroken.
        """
        if self._pieces:
            data = b"".join(self._pieces)
            self._pieces.clear()
            self._buffered_bytes = 0
            if self._connection is not None:
                self._connection.resume_reading()
            return succeed(data)
        if self._failure is not None:
            return fail(self._failure)
        if self._is_complete:
            return succeed(b"")
        self._reader = Deferred(self._cancel)
        return self._reader

    def abort(self):
        """Close the connection unless the response is complete."""
        if self._is_complete or self._failure is not None:
            return
        self._failure = ReplyBroken("aborted here")
        self._pieces.clear()
        if self._connecting is not None:
            self._connecting.cancel()
        if self._connection is not None:
            connection, self._connection = self._connection, None
            connection.abort_connection()

    @property
    def has_failed(self):
        """Whether the exchange failed or was aborted."""
        return self._failure is not None

    def set_connecting(self, connecting):
        """Set the connection attempt, which ``abort`` cancels.

        Parameters
        ----------
        connecting : object
            Has a method ``cancel``.
        """
        self._connecting = connecting

    def set_connection(self, connection):
        """Set the HttpConnection that the request is sent on."""
        self._connecting = None
        self._connection = connection

    def handle_head(self, head):
        """Receive the HttpHead of the response."""
        self._head.callback(head)

    def handle_data(self, data):
        """Receive bytes of the body; return whether to continue reading."""
        if self._reader is not None:
            reader, self._reader = self._reader, None
            reader.callback(data)
            return True
        self._pieces.append(data)
        self._buffered_bytes += len(data)
        return self._buffered_bytes < MAX_BUFFERED_BYTES

    def handle_end(self):
        """Receive the end of a complete response."""
        self._is_complete = True
        self._connection = None
        if self._reader is not None:
            reader, self._reader = self._reader, None
            reader.callback(b"")

    def handle_failure(self, error):
        """Fail the exchange with an exception, unless it has ended already."""
        if self._is_complete or self._failure is not None:
            return
        self._failure = error
        self._connection = None
        reader, self._reader = self._reader, None
        if not self._head.called:
            self._head.errback(error)
        elif reader is not None:
            reader.errback(error)

    def _cancel(self, _):
        self.abort()
