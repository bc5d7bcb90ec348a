"""Small HTTP ports that give one page to every question."""

from dataclasses import dataclass

from twisted.web import http


@dataclass(frozen=True, slots=True)
class Page:
    """An answer: HTTP status, kind of content, and content."""

    status: int
    content_type: bytes = b"text/plain; charset=utf-8"
    body: bytes = b""


READY = Page(200)
NOT_READY = Page(503)


class _PageRequest(http.Request):
    def process(self):
        """Answer with the page as it is now."""
        page = self.channel.factory.make_page()
        self.setResponseCode(page.status)
        self.responseHeaders.setRawHeaders(b"content-type", [page.content_type])
        self.responseHeaders.setRawHeaders(b"content-length", [b"%d" % len(page.body)])
        self.write(page.body)
        self.finish()


class _PageChannel(http.HTTPChannel):
    requestFactory = _PageRequest


class PageFactory(http.HTTPFactory):
    """Answer every request with a page.

    Parameters
    ----------
    make_page : callable
        Returns the Page.
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
