"""The port on which the balancer asks whether this process is ready."""

from twisted.web import http

_READY = 200
_NOT_READY = 503


class _ReadinessRequest(http.Request):
    def process(self):
        """Answer without a body."""
        self.setResponseCode(_READY if self.channel.factory.is_ready() else _NOT_READY)
        self.responseHeaders.setRawHeaders(b"content-length", [b"0"])
        self.write(b"")
        self.finish()


class _ReadinessChannel(http.HTTPChannel):
    requestFactory = _ReadinessRequest


class ReadinessFactory(http.HTTPFactory):
    """Answer whether new connections are welcome.

    Parameters
    ----------
    is_ready : callable
        Returns it.
    """

    noisy = False

    def __init__(self, is_ready):
        super().__init__()
        self.is_ready = is_ready

    def buildProtocol(self, address):
        """Return the protocol of a new connection."""
        channel = _ReadinessChannel()
        channel.factory = self
        return channel

    def log(self, request):
        """Write no access log."""
