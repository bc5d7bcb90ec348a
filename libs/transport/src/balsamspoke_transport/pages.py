"""HTTP servers with a single page, for readiness checks and metrics."""

from dataclasses import dataclass

from twisted.web import http


@dataclass(frozen=True, slots=True)
class Page:
    """A complete response.

    Attributes
    ----------
    status : int
        HTTP status.
    content_type : bytes
        Value of the Content-Type header.
    body : bytes
        The content.
    """

    status: int
    content_type: bytes = b"text/plain; charset=utf-8"
    body: bytes = b""


READY = Page(200)
NOT_READY = Page(503)


class _PageRequest(http.Request):
    def process(self):
        """Respond with the current page."""
        page = self.channel.factory.make_page()
        self.setResponseCode(page.status)
        self.responseHeaders.setRawHeaders(b"content-type", [page.content_type])
        self.responseHeaders.setRawHeaders(b"content-length", [b"%d" % len(page.body)])
        self.write(page.body)
        self.finish()


class _PageChannel(http.HTTPChannel):
    requestFactory = _PageRequest


class PageFactory(http.HTTPFactory):
    """Respond to every request with the same page, whatever its method and path.

    Parameters
    ----------
    make_page : callable
        Called for each request; returns the Page.
    """

    noisy = False

    def __init__(self, make_page):
        super().__init__()
        self.make_page = make_page

    def buildProtocol(self, address):
        """Return the protocol of a new connection."""
        channel = _PageChannel()
        channel.factory = self
        return channel

    def log(self, request):
        """Write no access log."""
