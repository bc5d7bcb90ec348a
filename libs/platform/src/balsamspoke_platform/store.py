"""The object API over HTTP."""

import random
from datetime import timedelta
from urllib.parse import quote, urlencode

from balsamspoke_types.exceptions import (
    ObjectNotFound,
    ObjectTooLarge,
    StoreUnavailable,
    VersionConflict,
    WriteOutcomeUnknown,
)
from balsamspoke_types.ports import ObjectStore, StoredObject
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

from .exceptions import HttpFailure, NotSent
from .store_format import read_page, read_version
from .store_watch import HttpWatch

TIMEOUT = timedelta(seconds=2)
READ_ATTEMPTS = 3
RETRY_DELAY = timedelta(milliseconds=100)
PAGE_SIZE = 500

_OK = 200
_NOT_FOUND = 404
_CONFLICT = 412
_TOO_LARGE = 413
_FIRST_SERVER_ERROR = 500


class HttpObjectStore(ObjectStore):
    """Call the object API.

    Parameters
    ----------
    caller : HttpCaller
        Calls the object API.
    timeout : timedelta
        For one call; a watch waits longer.
    attempts : int
        Tries of one read. A write is sent once.
    random_source : random.Random
        Draws the delays between tries.
    """

    def __init__(
        self, caller, timeout=TIMEOUT, attempts=READ_ATTEMPTS, random_source=None
    ):
        self._caller = caller
        self._timeout = timeout
        self._attempts = attempts
        self._random = random_source or random.Random()

    @inlineCallbacks
    def read(self, kind, name):
        """Give the StoredObject; fail with ObjectNotFound."""
        reply = yield self._get(_make_path(kind, name))
        if reply.status == _NOT_FOUND:
            raise ObjectNotFound(f"{kind.value}/{name}")
        _expect_ok(reply)
        return StoredObject(kind, name, read_version(reply), reply.body)

    @inlineCallbacks
    def list_page(self, kind, page=""):
        """Give an ObjectPage of all objects of a kind."""
        query = urlencode({"page": page, "limit": PAGE_SIZE})
        reply = yield self._get(f"/objects/{kind.value}?{query}")
        _expect_ok(reply)
        return read_page(reply.body)

    def create(self, kind, name, value):
        """Give the new StoredObject; fail with VersionConflict if it exists."""
        return self._put(kind, name, value, ("If-None-Match", "*"))

    def update(self, kind, name, value, version):
        """Give the new StoredObject; fail with VersionConflict."""
        return self._put(kind, name, value, ("If-Match", str(version)))

    @inlineCallbacks
    def delete(self, kind, name, version):
        """Give the tombstone; fail with VersionConflict or ObjectNotFound."""
        condition = ("If-Match", str(version))
        reply = yield self._write("DELETE", kind, name, condition, None)
        return StoredObject(kind, name, read_version(reply), b"", deleted=True)

    def watch(self, kinds, revision, on_events, on_end):
        """Watch kinds from a revision on; return a Watch."""
        watch = HttpWatch(self._caller, kinds, revision, on_events, on_end)
        watch.start()
        return watch

    @inlineCallbacks
    def _put(self, kind, name, value, condition):
        reply = yield self._write("PUT", kind, name, condition, value)
        return StoredObject(kind, name, read_version(reply), value)

    @inlineCallbacks
    def _write(self, method, kind, name, condition, value):
        path = _make_path(kind, name)
        try:
            reply = yield self._caller.call(
                method, path, self._timeout, (condition,), value
            )
        except NotSent as error:
            raise StoreUnavailable(str(error)) from error
        except HttpFailure as error:
            raise WriteOutcomeUnknown(f"{kind.value}/{name}: {error}") from error
        _expect_written(reply, kind, name)
        return reply

    @inlineCallbacks
    def _get(self, path):
        for attempt in range(self._attempts):
            if attempt:
                yield self._wait_before(attempt)
            try:
                reply = yield self._caller.call("GET", path, self._timeout)
            except HttpFailure as error:
                failure = StoreUnavailable(str(error))
                continue
            if reply.status < _FIRST_SERVER_ERROR:
                return reply
            failure = StoreUnavailable(f"answered {reply.status}")
        raise failure

    def _wait_before(self, attempt):
        longest = RETRY_DELAY.total_seconds() * 2**attempt
        delay = self._random.uniform(0, longest)
        return deferLater(self._caller.reactor, delay, lambda: None)


def _make_path(kind, name):
    return f"/objects/{kind.value}/{quote(name, safe='')}"


def _expect_ok(reply):
    if reply.status != _OK:
        raise StoreUnavailable(f"answered {reply.status}")


def _expect_written(reply, kind, name):
    place = f"{kind.value}/{name}"
    if reply.status == _OK:
        return
    if reply.status == _CONFLICT:
        raise VersionConflict(place, _read_current(reply, kind, name))
    if reply.status == _NOT_FOUND:
        raise ObjectNotFound(place)
    if reply.status == _TOO_LARGE:
        raise ObjectTooLarge(place)
    if reply.status >= _FIRST_SERVER_ERROR:
        raise WriteOutcomeUnknown(f"{place}: answered {reply.status}")
    raise StoreUnavailable(f"{place}: answered {reply.status}")


def _read_current(reply, kind, name):
    if reply.find_header("etag") is None:
        return None
    return StoredObject(kind, name, read_version(reply), reply.body)
