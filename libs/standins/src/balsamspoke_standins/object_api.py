"""A stand-in for the platform's object API, in memory.

Values are raw bodies and their version is the ETag; listings and watches are JSON
with values in base64. Every write has a condition: ``If-None-Match: *`` or
``If-Match: VERSION``.
"""

import random
from base64 import b64encode
from collections import Counter

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from .object_state import LARGEST_VALUE_BYTES, ObjectState
from .serving import (
    Answer,
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

LONGEST_POLL_SECONDS = 30.0
DEFAULT_PAGE_SIZE = 500
LARGEST_PAGE_BYTES = 4_000_000

_BAD_REQUEST = 400
_NOT_FOUND = 404
_GONE = 410
_CONFLICT = 412
_TOO_LARGE = 413
_CONDITION_MISSING = 428
_UNAVAILABLE = 503


class Faults:
    """What the control path may change.

    Attributes
    ----------
    available : bool
        Whether calls are answered; otherwise with status 503.
    delay_ms : int
        Milliseconds before each call is carried out.
    lost_reply_rate : float
        Part of the calls that are carried out and whose connection is then cut.
    stale_reads : int
        Reads and listings answer from this many revisions ago.
    """

    def __init__(self):
        self.available = True
        self.delay_ms = 0
        self.lost_reply_rate = 0.0
        self.stale_reads = 0


class ObjectApiResource(StandInResource):
    """The paths of the object API.

    Parameters
    ----------
    reactor : IReactorTime
        Runs delays and the ends of polls.
    random_source : random.Random
        Draws which replies are lost.
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
            return self._call(request, "list", self._list, request, kind)
        return self._call(request, "read", self._read, kind, name)

    def _put_object(self, request, kind, name):
        value = request.content.read()
        is_new = request.getHeader("if-none-match") == "*"
        expected = None if is_new else _read_condition(request)
        operation = "create" if is_new else "update"
        return self._call(
            request, operation, self._write, kind, name, value, expected, False
        )

    def _delete_object(self, request, kind, name):
        expected = _read_condition(request)
        return self._call(
            request, "delete", self._write, kind, name, b"", expected, True
        )

    def _call(self, request, operation, function, *arguments):
        self.calls[operation] += 1
        gone = []
        request.notifyFinish().addErrback(gone.append)
        delay = self.faults.delay_ms / 1000
        if delay:
            later = deferLater(
                self._reactor, delay, self._carry_out, function, *arguments
            )
            return later.addCallback(self._reply, request, gone)
        return self._reply(self._carry_out(function, *arguments), request, gone)

    def _carry_out(self, function, *arguments):
        if not self.faults.available:
            raise HttpError(_UNAVAILABLE, "the object API is down")
        return function(*arguments)

    def _reply(self, answer, request, gone):
        if gone:
            return None
        if self._random.random() < self.faults.lost_reply_rate:
            request.transport.abortConnection()
            return None
        return answer

    def _read(self, kind, name):
        entry = self.state.find(kind, name, self._get_read_revision())
        if entry is None:
            raise HttpError(_NOT_FOUND, "no such object")
        return _make_entry_answer(entry)

    def _list(self, request, kind):
        limit = int(read_argument(request, "limit") or DEFAULT_PAGE_SIZE)
        revision = self._get_read_revision()
        shown, size, more = [], 0, ""
        for name in self.state.list_names(kind, read_argument(request, "page")):
            entry = self.state.find(kind, name, revision)
            if entry is None:
                continue
            if len(shown) >= limit or size > LARGEST_PAGE_BYTES:
                more = shown[-1].name
                break
            shown.append(entry)
            size += len(entry.value)
        return _make_page_answer(shown, revision, more)

    def _write(self, kind, name, value, expected, deletes):
        if len(value) > LARGEST_VALUE_BYTES:
            raise HttpError(_TOO_LARGE, f"over {LARGEST_VALUE_BYTES} bytes")
        current = self.state.find(kind, name)
        if deletes and current is None:
            raise HttpError(_NOT_FOUND, "no such object")
        if (current.version if current else None) != expected:
            if current is None:
                return Answer(_CONFLICT)
            return _make_entry_answer(current, _CONFLICT)
        entry = self.state.put(kind, name, value, deletes)
        self._wake_polls()
        return _make_entry_answer(entry)

    def _watch(self, request):
        self.calls["watch"] += 1
        if not self.faults.available:
            raise HttpError(_UNAVAILABLE, "the object API is down")
        kinds = frozenset(read_argument(request, "kinds").split(","))
        poll = _Poll(self, kinds, int(read_argument(request, "since", "0")))
        if poll.try_answer():
            return poll.answer
        self._polls.add(poll)
        expiry = self._reactor.callLater(LONGEST_POLL_SECONDS, poll.end)

        def forget(result):
            self._polls.discard(poll)
            if expiry.active():
                expiry.cancel()
            return result

        request.notifyFinish().addErrback(lambda _: poll.answer.cancel())
        return poll.answer.addBoth(forget)

    def _wake_polls(self):
        for poll in list(self._polls):
            poll.try_answer()

    def _get_read_revision(self):
        return max(0, self.state.revision - self.faults.stale_reads)

    def _show_control(self, request):
        document = dict(vars(self.faults), calls=dict(self.calls))
        document["revision"] = self.state.revision
        return make_json_answer(document)

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
        self.answer = Deferred(lambda deferred: deferred.callback(None))

    def try_answer(self):
        events = self._api.state.find_events(self._kinds, self._since)
        if events is None:
            self.fail(HttpError(_GONE, "the events are gone"))
        elif events:
            self._tell(events)
        return self.answer.called

    def end(self):
        self._tell([])

    def fail(self, error):
        if not self.answer.called:
            self.answer.errback(error)

    def _tell(self, events):
        if not self.answer.called:
            revision = self._api.state.revision
            self.answer.callback(_make_page_answer(events, revision, ""))


def _read_condition(request):
    text = request.getHeader("if-match")
    if text is None:
        raise HttpError(_CONDITION_MISSING, "a write needs a condition")
    try:
        return int(text.strip('"'))
    except ValueError as error:
        raise HttpError(_BAD_REQUEST, "not a version") from error


def _make_entry_answer(entry, status=200):
    headers = (
        ("Content-Type", "application/octet-stream"),
        ("ETag", f'"{entry.version}"'),
    )
    return Answer(status, entry.value, headers)


def _make_page_answer(entries, revision, more):
    objects = [
        {
            "kind": entry.kind,
            "name": entry.name,
            "version": entry.version,
            "value": b64encode(entry.value).decode(),
            "deleted": entry.deleted,
        }
        for entry in entries
    ]
    page = {"objects": objects, "revision": revision, "next_page": more}
    return make_json_answer(page)


def main():
    """Serve the object API until SIGTERM."""
    arguments = make_parser(__doc__).parse_args()
    serve("object_api", arguments.listen, ObjectApiResource(get_reactor()))


if __name__ == "__main__":
    main()
