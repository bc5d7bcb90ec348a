"""What every stand-in shares: its command line, its server and JSON over HTTP."""

import argparse
import sys
from dataclasses import dataclass

import orjson
from balsamspoke_platform import listen_eagerly
from balsamspoke_types.exceptions import BalsamspokeError
from twisted.internet import asyncioreactor
from twisted.internet.error import ReactorAlreadyInstalledError
from twisted.python import log
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

LISTEN_BACKLOG = 1024
_BAD_REQUEST = 400
_NOT_FOUND = 404
_OK = 200


class HttpError(BalsamspokeError):
    """A request is answered with an error status.

    Attributes
    ----------
    status : int
        HTTP status.
    """

    def __init__(self, status, message):
        super().__init__(message)
        self.status = status


@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer to a request."""

    status: int = _OK
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


def make_json_answer(document, status=_OK):
    """Return an Answer with a JSON document."""
    headers = (("Content-Type", "application/json"),)
    return Answer(status, orjson.dumps(document), headers)


def read_json(request):
    """Return the JSON object in a request's body.

    Raises
    ------
    HttpError
        With status 400 if it isn't one.
    """
    try:
        document = orjson.loads(request.content.read() or b"{}")
    except ValueError as error:
        raise HttpError(_BAD_REQUEST, f"not JSON: {error}") from error
    if not isinstance(document, dict):
        raise HttpError(_BAD_REQUEST, "not a JSON object")
    return document


def read_argument(request, name, default=""):
    """Return a parameter of the query as text."""
    values = request.args.get(name.encode())
    return values[-1].decode() if values else default


def change_settings(settings, document):
    """Set the attributes of a settings object that a JSON object names.

    Raises
    ------
    HttpError
        With status 400 for a name or a type that the settings don't have.
    """
    for name, value in document.items():
        if name.startswith("_") or not hasattr(settings, name):
            raise HttpError(_BAD_REQUEST, f"no setting {name!r}")
        expected = type(getattr(settings, name))
        if expected is float and isinstance(value, int):
            value = float(value)
        if not isinstance(value, expected):
            raise HttpError(_BAD_REQUEST, f"{name} is not of type {expected.__name__}")
        setattr(settings, name, value)


class StandInResource(Resource):
    """A dispatcher of requests by method and first path segment.

    Subclasses map ``(method, first segment)`` to functions in ``routes``. Each is
    called with the request and the other segments, and returns an Answer, a
    Deferred of one, or None if it sees to the answer by itself.
    """

    isLeaf = True

    def __init__(self):
        super().__init__()
        self.routes = {}

    def render(self, request):
        """Answer a request."""
        segments = [segment.decode() for segment in request.postpath or [b""]]
        handler = self.routes.get((request.method.decode(), segments[0]))
        try:
            if handler is None:
                raise HttpError(_NOT_FOUND, "no such path")
            answer = handler(request, *segments[1:])
        except (HttpError, TypeError, ValueError, UnicodeError) as error:
            answer = _make_error_answer(error)
        if answer is None:
            return NOT_DONE_YET
        if isinstance(answer, Answer):
            return write_answer(request, answer)
        answer.addErrback(lambda failure: _make_error_answer(failure.value))
        answer.addCallback(self._finish_later, request)
        return NOT_DONE_YET

    @staticmethod
    def _finish_later(answer, request):
        if answer is not None and request.channel is not None:
            request.write(write_answer(request, answer))
            request.finish()


def write_answer(request, answer):
    """Set status and headers of a request; return the body."""
    request.setResponseCode(answer.status)
    for name, value in answer.headers:
        request.setHeader(name, value)
    request.setHeader("Content-Length", str(len(answer.body)))
    return answer.body


def _make_error_answer(error):
    status = error.status if isinstance(error, HttpError) else _BAD_REQUEST
    return make_json_answer({"error": {"message": str(error)}}, status)


def make_parser(description):
    """Return the ArgumentParser of a stand-in."""
    parser = argparse.ArgumentParser(description=description.splitlines()[0])
    parser.add_argument(
        "--listen",
        default="127.0.0.1:0",
        metavar="IP:PORT",
        help="where to listen; port 0 takes a free one",
    )
    return parser


def get_reactor():
    """Return Twisted's reactor on asyncio, installing it on the first call."""
    try:
        asyncioreactor.install()
    except ReactorAlreadyInstalledError:
        pass
    from twisted.internet import reactor

    return reactor


class _QuietSite(Site):
    noisy = False

    def log(self, request):
        pass


def serve(name, listen, resource):
    """Serve a resource until SIGTERM; print one line when listening.

    Parameters
    ----------
    name : str
        Name of the stand-in.
    listen : str
        ``ip:port``.
    resource : IResource
        What is served.
    """
    reactor = get_reactor()
    host, _, port = listen.rpartition(":")
    site = _QuietSite(resource, reactor=reactor)
    listening = listen_eagerly(reactor, int(port), site, LISTEN_BACKLOG, host)
    address = listening.getHost()
    log.startLogging(sys.stderr, setStdout=False)
    line = f"{name} listens on {address.host}:{address.port}"
    # Said from the running loop, when a signal already ends it as it should.
    reactor.callLater(0, lambda: print(line, flush=True))
    reactor.run()
