"""A stand-in for a plain service that takes bookings."""

import itertools

from twisted.internet.task import deferLater

from .serving import (
    HttpError,
    StandInResource,
    change_settings,
    get_reactor,
    make_json_response,
    make_parser,
    read_argument,
    read_json,
    serve,
)

MAX_RECORDED_CALLS = 50_000
_CREATED = 201
_NOT_FOUND = 404
_UNAVAILABLE = 503


class ServiceSettings:
    """Settings of the service, which ``POST /control`` can change.

    Attributes
    ----------
    healthy : bool
        Whether the health check returns status 200 rather than 503.
    delay_ms : int
        Milliseconds before the response to each call.
    lose_answers : bool
        Whether the connection is aborted instead of sending the response; calls take
        effect all the same.
    """

    def __init__(self):
        self.healthy = True
        self.delay_ms = 5
        self.lose_answers = False


class ServiceResource(StandInResource):
    """HTTP resource of the booking service.

    Parameters
    ----------
    reactor : IReactorTime
        Clock of the delays.
    name : str
        Prefix of booking numbers; distinguishes replicas.

    Attributes
    ----------
    settings : ServiceSettings
        Health, delay and injected faults.
    bookings : dict
        Bookings by number.
    calls : list of dict
        Latest ``MAX_RECORDED_CALLS`` calls, without health checks and control calls.
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
        document = read_json(self._record_call(request))
        number = f"{self._name}-{next(self._numbers)}"
        self.bookings[number] = dict(document, booking=number)
        return self._reply_after_delay(request, self.bookings[number], _CREATED)

    def _show(self, request, number):
        self._record_call(request)
        return self._reply_after_delay(request, self._find_booking(number))

    def _remove(self, request, number):
        self._record_call(request)
        booking = self._find_booking(number)
        del self.bookings[number]
        return self._reply_after_delay(request, booking)

    def _show_availability(self, request):
        self._record_call(request)
        day = read_argument(request, "day", "today")
        free = max(0, 12 - len(self.bookings) % 13)
        return self._reply_after_delay(request, {"day": day, "free": free})

    def _find_booking(self, number):
        if number not in self.bookings:
            raise HttpError(_NOT_FOUND, "no such booking")
        return self.bookings[number]

    def _record_call(self, request):
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
        del self.calls[:-MAX_RECORDED_CALLS]
        return request

    def _reply_after_delay(self, request, document, status=200):
        response = make_json_response(document, status)
        delay = self.settings.delay_ms / 1000
        return deferLater(self._reactor, delay, self._finish_reply, request, response)

    def _finish_reply(self, request, response):
        if request.channel is None:
            return None
        if self.settings.lose_answers:
            request.transport.abortConnection()
            return None
        return response

    def _show_calls(self, request):
        return make_json_response({"calls": self.calls})

    def _show_health(self, request):
        if not self.settings.healthy:
            raise HttpError(_UNAVAILABLE, "not ready")
        return make_json_response({"running": 0})

    def _show_control(self, request):
        counts = {"bookings": len(self.bookings), "calls": len(self.calls)}
        return make_json_response({**vars(self.settings), **counts})

    def _change_control(self, request):
        change_settings(self.settings, read_json(request))
        return self._show_control(request)


def main():
    """Run the service until SIGTERM."""
    parser = make_parser(__doc__)
    parser.add_argument("--name", default="booking", help="prefix of booking numbers")
    arguments = parser.parse_args()
    resource = ServiceResource(get_reactor(), arguments.name)
    serve("service", arguments.listen, resource)


if __name__ == "__main__":
    main()
