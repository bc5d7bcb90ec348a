"""A stand-in for a plain service that takes bookings."""

import itertools

from twisted.internet.task import deferLater

from .serving import (
    HttpError,
    StandInResource,
    change_settings,
    get_reactor,
    make_json_answer,
    make_parser,
    read_argument,
    read_json,
    serve,
)

CALLS_KEPT = 50_000
_CREATED = 201
_NOT_FOUND = 404
_UNAVAILABLE = 503


class ServiceSettings:
    """What the control path may change.

    Attributes
    ----------
    healthy : bool
        Whether the health check answers 200.
    delay_ms : int
        Milliseconds that each call takes.
    lose_answers : bool
        Whether calls run and the connection is then cut.
    """

    def __init__(self):
        self.healthy = True
        self.delay_ms = 5
        self.lose_answers = False


class ServiceResource(StandInResource):
    """The paths of the booking service.

    Parameters
    ----------
    reactor : IReactorTime
        Runs the delays.
    name : str
        Put before the number of each booking, so that replicas differ.
    """

    def __init__(self, reactor, name="booking"):
        super().__init__()
        self.settings = ServiceSettings()
        self.bookings = {}
        self.calls = []
        self._reactor = reactor
        self._name = name
        self._numbers = itertools.count(1)
        self.routes = {
            ("POST", "bookings"): self._create,
            ("GET", "bookings"): self._show,
            ("DELETE", "bookings"): self._remove,
            ("GET", "availability"): self._show_availability,
            ("GET", "calls"): self._show_calls,
            ("GET", "health"): self._show_health,
            ("GET", "control"): self._show_control,
            ("POST", "control"): self._change_control,
        }

    def _create(self, request):
        document = read_json(self._note(request))
        number = f"{self._name}-{next(self._numbers)}"
        self.bookings[number] = dict(document, booking=number)
        return self._answer(request, self.bookings[number], _CREATED)

    def _show(self, request, number):
        self._note(request)
        return self._answer(request, self._find(number))

    def _remove(self, request, number):
        self._note(request)
        booking = self._find(number)
        del self.bookings[number]
        return self._answer(request, booking)

    def _show_availability(self, request):
        self._note(request)
        day = read_argument(request, "day", "today")
        free = max(0, 12 - len(self.bookings) % 13)
        return self._answer(request, {"day": day, "free": free})

    def _find(self, number):
        if number not in self.bookings:
            raise HttpError(_NOT_FOUND, "no such booking")
        return self.bookings[number]

    def _note(self, request):
        headers = [
            [name.decode("latin-1"), value.decode("latin-1")]
            for name, values in request.requestHeaders.getAllRawHeaders()
            for value in values
        ]
        body = request.content.read()
        request.content.seek(0)
        self.calls.append(
            {
                "method": request.method.decode(),
                "path": request.uri.decode("latin-1"),
                "headers": headers,
                "body": body.decode(errors="replace"),
            }
        )
        del self.calls[:-CALLS_KEPT]
        return request

    def _answer(self, request, document, status=200):
        answer = make_json_answer(document, status)
        delay = self.settings.delay_ms / 1000
        return deferLater(self._reactor, delay, self._reply, request, answer)

    def _reply(self, request, answer):
        if request.channel is None:
            return None
        if self.settings.lose_answers:
            request.transport.abortConnection()
            return None
        return answer

    def _show_calls(self, request):
        return make_json_answer({"calls": self.calls})

    def _show_health(self, request):
        if not self.settings.healthy:
            raise HttpError(_UNAVAILABLE, "not ready")
        return make_json_answer({"running": 0})

    def _show_control(self, request):
        counts = {"bookings": len(self.bookings), "calls": len(self.calls)}
        return make_json_answer({**vars(self.settings), **counts})

    def _change_control(self, request):
        change_settings(self.settings, read_json(request))
        return self._show_control(request)


def main():
    """Serve bookings until SIGTERM."""
    parser = make_parser(__doc__)
    parser.add_argument("--name", default="booking", help="prefix of the bookings")
    arguments = parser.parse_args()
    resource = ServiceResource(get_reactor(), arguments.name)
    serve("service", arguments.listen, resource)


if __name__ == "__main__":
    main()
