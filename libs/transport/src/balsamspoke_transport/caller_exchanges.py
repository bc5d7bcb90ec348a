"""A caller's request, and the response that is written to it."""

from datetime import timedelta
from http import HTTPStatus
from io import BytesIO

from balsamspoke_gateway.exceptions import BuffersFull
from balsamspoke_gateway.ports import CallerSink
from twisted.web import http

# Hop-by-hop headers, and headers that are set here for each response.
_NOT_FORWARDED_HEADERS = frozenset(
    (b"connection", b"keep-alive", b"transfer-encoding", b"content-length")
)
# Callers that are refused for lack of memory return after this time.
BUFFERS_RETRY_AFTER = timedelta(seconds=1)


def find_reason_phrase(status):
    """Return the standard reason phrase of an HTTP status; empty if it has none."""
    try:
        return HTTPStatus(status).phrase.encode("ascii")
    except ValueError:
        return b""


class CallerExchange(http.Request, CallerSink):
    """A caller's request, and the sink that its response is written to.

    Attributes
    ----------
    status : int
        HTTP status of the response; 0 until the response is started.
    """

    status = 0
    _handling = None
    _has_no_room = False
    # Twisted must not parse form bodies: a body is forwarded unchanged.
    _parsePOSTFormSubmission = False

    @property
    def is_started(self):
        """Whether the head of the response was written."""
        return self.status != 0

    def gotLength(self, length):
        """Buffer the body in memory, since the VM has no disk."""
        self.content = BytesIO()
        self.channel.handle_head_end()

    def handleContentChunk(self, data):
        """Buffer a piece of the body, up to one byte beyond the limit.

        The rest is read and discarded, so that an oversized body uses no memory and
        the caller still gets a response.
        """
        room = self.channel.limits.body_bytes + 1 - self.content.tell()
        if self._has_no_room or not self.channel.take_body(len(data[:room])):
            self._has_no_room = True
            return
        self.content.write(data[:room])

    def process(self):
        """Pass the complete request to the factory's handler."""
        if self._has_no_room:
            error = BuffersFull("no memory left for the body", BUFFERS_RETRY_AFTER)
            self.refuse(error)
            return
        self._handling = self.channel.factory.on_request(self)

    @property
    def is_full(self):
        """Whether more than ``MAX_UNSENT_BYTES`` of the response are unsent."""
        return self.channel.is_full

    def wait_for_room(self):
        """Return a Deferred of None that fires once all written bytes were sent."""
        return self.channel.wait_for_room()

    def write(self, data):
        """Write bytes of the body."""
        super().write(data)
        if self.channel is not None:
            self.channel.record_written(len(data))

    def connectionLost(self, reason):
        """Cancel the handling of the request if the caller disconnects."""
        handling, self._handling = self._handling, None
        super().connectionLost(reason)
        if handling is not None:
            handling.cancel()

    def start(self, status, headers, length=None):
        """Write the head of the response.

        Parameters
        ----------
        status : int
            HTTP status.
        headers : iterable of tuple of bytes
            Names and values; hop-by-hop headers and the content length are skipped.
        length : int or None
            Content length in bytes; None for a stream.
        """
        self.status = status
        self.setResponseCode(status, find_reason_phrase(status))
        fields = self.responseHeaders
        for name, value in headers:
            if name.lower() not in _NOT_FORWARDED_HEADERS:
                fields.addRawHeader(name, value)
        if length is not None:
            fields.setRawHeaders(b"content-length", [b"%d" % length])
        if self.channel.factory.is_closing():
            fields.setRawHeaders(b"connection", [b"close"])
            self.channel.persistent = False

    def finish(self):
        """End a complete response."""
        self._handling = None
        super().finish()

    def abort(self):
        """Close the connection before the response is complete."""
        self._handling = None
        self.channel.abortConnection()

    def refuse(self, error):
        """Write the whole response to a refused request.

        Parameters
        ----------
        error : RequestRefused
            The reason.
        """
        self._write_response(self.channel.factory.build_refusal(error))

    def fail(self, error):
        """Write the whole response to a request that failed and may have run.

        Parameters
        ----------
        error : GatewayError
            The reason.
        """
        self._write_response(self.channel.factory.build_failure(error))

    def _write_response(self, response):
        self.start(response.status, response.headers, len(response.body))
        self.write(response.body)
        self.finish()
