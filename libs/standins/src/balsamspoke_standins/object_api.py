"""A stand-in for the platform's object API, in memory.

The body of an object is its raw value and its ETag is the version. Listings and
watches are JSON with values in base64. Every write needs a condition:
``If-None-Match: *`` or ``If-Match: VERSION``.
"""

import random
from base64 import b64encode
from collections import Counter

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from .object_state import MAX_VALUE_BYTES, ObjectState
from .serving import (
    HttpError,
    HttpResponse,
    StandInResource,
    change_settings,
    get_reactor,
    make_json_response,
    make_parser,
    read_argument,
    read_json,
    serve,
)

MAX_POLL_SECONDS = 30.0
DEFAULT_PAGE_SIZE = 500
MAX_PAGE_BYTES = 4_000_000

_BAD_REQUEST = 400
_NOT_FOUND = 404
_GONE = 410
_PRECONDITION_FAILED = 412
_TOO_LARGE = 413
_PRECONDITION_REQUIRED = 428
_UNAVAILABLE = 503


class Faults:
    """Injected faults, which ``POST /control`` can change.

    Attributes
    ----------
    available : bool
        Whether the API is available; if False, calls get status 503.
    delay_ms : int
        Milliseconds before each read, listing or write is executed.
    lost_reply_rate : float
        Fraction of the reads, listings and writes that are executed and whose
        connection is then aborted.
    stale_reads : int
        Number of revisions by which reads and listings lag behind.
    """

    def __init__(self):
        self.available = True
        self.delay_ms = 0
        self.lost_reply_rate = 0.0
        self.stale_reads = 0


class ObjectApiResource(StandInResource):
    """HTTP resource of the object API.

    Parameters
    ----------
    reactor : IReactorTime
        Clock of delays and of the timeouts of watches.
    random_source : random.Random
        Source of the choice of lost replies; the default has a fixed seed.

    Attributes
    ----------
    state : ObjectState
        Stored objects.
    faults : Faults
        Injected faults.
    calls : Counter
        Number of calls by operation.
    """

    def __init__(self, reactor, random_source=None):
        super().__init__()
        self.state = ObjectState()
        self.faults = Faults()
        self.calls = Counter()
        self._reactor = reactor
        self._random = random_source or random.Random(0)
        self._polls = set()
        self.routes = {
            ("GET", "objects"): self._get_objects,
            ("PUT", "objects"): self._put_object,
            ("DELETE", "objects"): self._delete_object,
            ("GET", "watch"): self._watch,
            ("GET", "control"): self._show_control,
            ("POST", "control"): self._change_control,
        }

    def _get_objects(self, request, kind, name=None):
        if name is None:
            return self._handle_call(request, "list", self._list, request, kind)
        return self._handle_call(request, "read", self._read, kind, name)

    def _put_object(self, request, kind, name):
        value = request.content.read()
        is_new = request.getHeader("if-none-match") == "*"
        expected = None if is_new else _read_condition(request)
        operation = "create" if is_new else "update"
        return self._handle_call(
            request, operation, self._write, kind, name, value, expected, False
        )

    def _delete_object(self, request, kind, name):
        expected = _read_condition(request)
        return self._handle_call(
            request, "delete", self._write, kind, name, b"", expected, True
        )

    def _handle_call(self, request, operation, function, *arguments):
        self.calls[operation] += 1
        disconnects = []
        request.notifyFinish().addErrback(disconnects.append)
        delay = self.faults.delay_ms / 1000
        if delay:
            delayed = deferLater(
                self._reactor, delay, self._execute, function, *arguments
            )
            return delayed.addCallback(self._send_reply, request, disconnects)
        return self._send_reply(
            self._execute(function, *arguments), request, disconnects
        )

    def _execute(self, function, *arguments):
        if not self.faults.available:
            raise HttpError(_UNAVAILABLE, "the object API is down")
        return function(*arguments)

    def _send_reply(self, response, request, disconnects):
        if disconnects:
            return None
        if self._random.random() < self.faults.lost_reply_rate:
            request.transport.abortConnection()
            return None
        return response

    def _read(self, kind, name):
        record = self.state.find(kind, name, self._get_read_revision())
        if record is None:
            raise HttpError(_NOT_FOUND, "no such object")
        return _make_record_response(record)

    def _list(self, request, kind):
        limit = int(read_argument(request, "limit") or DEFAULT_PAGE_SIZE)
        revision = self._get_read_revision()
        listed, size, next_page = [], 0, ""
        for name in self.state.list_names(kind, read_argument(request, "page")):
            record = self.state.find(kind, name, revision)
            if record is None:
                continue
            if len(listed) >= limit or size > MAX_PAGE_BYTES:
                next_page = listed[-1].name
                break
            listed.append(record)
            size += len(record.value)
        return _make_page_response(listed, revision, next_page)

    def _write(self, kind, name, value, expected, is_deletion):
        if len(value) > MAX_VALUE_BYTES:
            raise HttpError(_TOO_LARGE, f"over {MAX_VALUE_BYTES} bytes")
        current = self.state.find(kind, name)
        if is_deletion and current is None:
            raise HttpError(_NOT_FOUND, "no such object")
        if (current.version if current else None) != expected:
            if current is None:
                return HttpResponse(_PRECONDITION_FAILED)
            return _make_record_response(current, _PRECONDITION_FAILED)
        record = self.state.put(kind, name, value, is_deletion)
        self._answer_polls()
        return _make_record_response(record)

    def _watch(self, request):
        self.calls["watch"] += 1
        if not self.faults.available:
            raise HttpError(_UNAVAILABLE, "the object API is down")
        kinds = frozenset(read_argument(request, "kinds").split(","))
        poll = _Poll(self, kinds, int(read_argument(request, "since", "0")))
        if poll.try_respond():
            return poll.response
        self._polls.add(poll)
        timeout_call = self._reactor.callLater(MAX_POLL_SECONDS, poll.end)

        def discard_poll(result):
            self._polls.discard(poll)
            if timeout_call.active():
                timeout_call.cancel()
            return result

        request.notifyFinish().addErrback(lambda _: poll.response.cancel())
        return poll.response.addBoth(discard_poll)

    def _answer_polls(self):
        for poll in list(self._polls):
            poll.try_respond()

    def _get_read_revision(self):
        return max(0, self.state.revision - self.faults.stale_reads)

    def _show_control(self, request):
        document = dict(vars(self.faults), calls=dict(self.calls))
        document["revision"] = self.state.revision
        return make_json_response(document)

    def _change_control(self, request):
        change_settings(self.faults, read_json(request))
        if not self.faults.available:
            for poll in list(self._polls):
                poll.fail(HttpError(_UNAVAILABLE, "the object API is down"))
        return self._show_control(request)


class _Poll:
    def __init__(self, api, kinds, since):
        self._api = api
        self._kinds = kinds
        self._since = since
        self.response = Deferred(lambda deferred: deferred.callback(None))

    def try_respond(self):
        events = self._api.state.find_events(self._kinds, self._since)
        if events is None:
            self.fail(HttpError(_GONE, "the events are gone"))
        elif events:
            self._resolve(events)
        return self.response.called

    def end(self):
        self._resolve([])

    def fail(self, error):
        if not self.response.called:
            self.response.errback(error)

    def _resolve(self, events):
        if not self.response.called:
            revision = self._api.state.revision
            self.response.callback(_make_page_response(events, revision, ""))


def _read_condition(request):
    text = request.getHeader("if-match")
    if text is None:
        raise HttpError(_PRECONDITION_REQUIRED, "a write needs a condition")
    try:
        return int(text.strip('"'))
    except ValueError as error:
        raise HttpError(_BAD_REQUEST, "not a version") from error


def _make_record_response(record, status=200):
    headers = (
        ("Content-Type", "application/octet-stream"),
        ("ETag", f'"{record.version}"'),
    )
    return HttpResponse(status, record.value, headers)


def _make_page_response(records, revision, next_page):
    objects = [
        {
            "kind": record.kind,
            "name": record.name,
            "version": record.version,
            "value": b64encode(record.value).decode(),
            "deleted": record.deleted,
        }
        for record in records
    ]
    page = {"objects": objects, "revision": revision, "next_page": next_page}
    return make_json_response(page)


def main():
    """Run the object API until SIGTERM."""
    arguments = make_parser(__doc__).parse_args()
    serve("object_api", arguments.listen, ObjectApiResource(get_reactor()))


if __name__ == "__main__":
    main()
