"""HTTP server, JSON helpers and command line shared by all stand-ins."""

import argparse
import sys
from dataclasses import dataclass

import orjson
from balsamspoke_platform import listen_eagerly
from balsamspoke_transport.reactor import install_reactor
from balsamspoke_types.exceptions import BalsamspokeError
from twisted.internet.error import ReactorAlreadyInstalledError
from twisted.python import log
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

LISTEN_BACKLOG = 1024
_BAD_REQUEST = 400
_NOT_FOUND = 404
_OK = 200


class HttpError(BalsamspokeError):
    """A request fails with an error status.

    Attributes
    ----------
    status : int
        HTTP status of the response.
    """

    def __init__(self, status, message):
        super().__init__(message)
        self.status = status


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete HTTP response.

    Attributes
    ----------
    status : int
        HTTP status.
    body : bytes
        Response body.
    headers : tuple of tuple of str
        Names and values, without Content-Length.
    """

    status: int = _OK
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


def make_json_response(document, status=_OK):
    """Return an HttpResponse with a JSON document."""
    headers = (("Content-Type", "application/json"),)
    return HttpResponse(status, orjson.dumps(document), headers)


def read_json(request):
    """Return the JSON object in a request's body; an empty one for no body.

    Raises
    ------
    HttpError
        With status 400 if the body isn't a JSON object.
    """
    try:
        document = orjson.loads(request.content.read() or b"{}")
    except ValueError as error:
        raise HttpError(_BAD_REQUEST, f"not JSON: {error}") from error
    if not isinstance(document, dict):
        raise HttpError(_BAD_REQUEST, "not a JSON object")
    return document


def read_argument(request, name, default=""):
    """Return the last value of a query parameter, or a default."""
    values = request.args.get(name.encode())
    return values[-1].decode() if values else default


def change_settings(settings, document):
    """Set attributes of a settings object to the members of a JSON object.

    Raises
    ------
    HttpError
        With status 400 for an unknown name or a value of another type than the current
        one; members before it have been set.
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
    """Base class of resources that dispatch by method and first path segment.

    Attributes
    ----------
    routes : dict
        Handlers by (method, first segment). A handler is called with the request and
        the remaining segments. It returns an HttpResponse, None if it writes or drops
        the response itself, or a Deferred of either.
    """

    isLeaf = True

    def __init__(self):
        super().__init__()
        self.routes = {}

    def render(self, request):
        """Call the handler of a request and send its response."""
        segments = [segment.decode() for segment in request.postpath or [b""]]
        handler = self.routes.get((request.method.decode(), segments[0]))
        try:
            if handler is None:
                raise HttpError(_NOT_FOUND, "no such path")
            response = handler(request, *segments[1:])
        except (HttpError, TypeError, ValueError, UnicodeError) as error:
            response = _make_error_response(error)
        if response is None:
            return NOT_DONE_YET
        if isinstance(response, HttpResponse):
            return write_response(request, response)
        response.addErrback(lambda failure: _make_error_response(failure.value))
        response.addCallback(self._finish_deferred, request)
        return NOT_DONE_YET

    @staticmethod
    def _finish_deferred(response, request):
        if response is not None and request.channel is not None:
            request.write(write_response(request, response))
            request.finish()


def write_response(request, response):
    """Set the status and headers of a response; return its body."""
    request.setResponseCode(response.status)
    for name, value in response.headers:
        request.setHeader(name, value)
    request.setHeader("Content-Length", str(len(response.body)))
    return response.body


def _make_error_response(error):
    status = error.status if isinstance(error, HttpError) else _BAD_REQUEST
    return make_json_response({"error": {"message": str(error)}}, status)


def make_parser(description):
    """Return the ArgumentParser of a stand-in."""
    parser = argparse.ArgumentParser(description=description.splitlines()[0])
    parser.add_argument(
        "--listen",
        default="127.0.0.1:0",
        metavar="IP:PORT",
        help="where to listen; port 0 selects a free port",
    )
    return parser


def get_reactor():
    """Return Twisted's asyncio reactor; install it on the first call."""
    try:
        install_reactor()
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
        Address as ``ip:port``.
    resource : IResource
        Root resource.
    """
    reactor = get_reactor()
    host, _, port = listen.rpartition(":")
    site = _QuietSite(resource, reactor=reactor)
    listening_port = listen_eagerly(reactor, int(port), site, LISTEN_BACKLOG, host)
    address = listening_port.getHost()
    log.startLogging(sys.stderr, setStdout=False)
    line = f"{name} listens on {address.host}:{address.port}"
    # Printed by the running reactor: its signal handlers are installed by then, so that
    # a SIGTERM sent after this line stops the program cleanly.
    reactor.callLater(0, lambda: print(line, flush=True))
    reactor.run()
