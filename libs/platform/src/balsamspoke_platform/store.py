"""HTTP client of the object API."""

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
RETRY_BACKOFF = timedelta(milliseconds=100)
PAGE_SIZE = 500

_OK = 200
_NOT_FOUND = 404
_CONFLICT = 412
_TOO_LARGE = 413
_FIRST_SERVER_ERROR = 500


class HttpObjectStore(ObjectStore):
    """Client of the object API.

    Reads are retried with an exponential backoff and full jitter. Writes are sent once,
    since a write whose reply is lost may have taken effect.

    Parameters
    ----------
    client : HttpClient
        Sends requests to the object API.
    timeout : timedelta
        Time limit for each call; polls of a watch have a longer one.
    attempts : int
        Number of attempts of each read.
    random_source : random.Random
        Source of the jitter of the delays between attempts.
    """

    def __init__(
        self, client, timeout=TIMEOUT, attempts=READ_ATTEMPTS, random_source=None
    ):
        self._client = client
        self._timeout = timeout
        self._attempts = attempts
        self._random = random_source or random.Random()

    @inlineCallbacks
    def read(self, kind, name):
        """Read an object.

        Returns
        -------
        Deferred of StoredObject
            Fails with ObjectNotFound or StoreUnavailable.
        """
        reply = yield self._get(_make_path(kind, name))
        if reply.status == _NOT_FOUND:
            raise ObjectNotFound(f"{kind.value}/{name}")
        _check_ok(reply)
        return StoredObject(kind, name, read_version(reply), reply.body)

    @inlineCallbacks
    def list_page(self, kind, page=""):
        """Read a page of the objects of a kind.

        Parameters
        ----------
        kind : Kind
            Kind of the objects.
        page : str
            Token of the page, from ``next_page`` of the page before; empty for the
            first page.

        Returns
        -------
        Deferred of ObjectPage
            Fails with StoreUnavailable.
        """
        query = urlencode({"page": page, "limit": PAGE_SIZE})
        reply = yield self._get(f"/objects/{kind.value}?{query}")
        _check_ok(reply)
        return read_page(reply.body)

    def create(self, kind, name, value):
        """Create an object.

        Returns
        -------
        Deferred of StoredObject
            The new object. Fails with VersionConflict if it exists, with
            ObjectTooLarge, with StoreUnavailable if nothing was written, or with
            WriteOutcomeUnknown.
        """
        return self._put(kind, name, value, ("If-None-Match", "*"))

    def update(self, kind, name, value, version):
        """Replace the value of an object.

        Parameters
        ----------
        kind : Kind
            Kind of the object.
        name : str
            Name of the object.
        value : bytes
            The new value.
        version : int
            Version that the object must have.

        Returns
        -------
        Deferred of StoredObject
            The new object. Fails with VersionConflict if the object has another
            version, otherwise as ``create`` does.
        """
        return self._put(kind, name, value, ("If-Match", str(version)))

    @inlineCallbacks
    def delete(self, kind, name, version):
        """Delete an object.

        Parameters
        ----------
        kind : Kind
            Kind of the object.
        name : str
            Name of the object.
        version : int
            Version that the object must have.

        Returns
        -------
        Deferred of StoredObject
            The tombstone. Fails with VersionConflict, ObjectNotFound,
            StoreUnavailable or WriteOutcomeUnknown.
        """
        condition = ("If-Match", str(version))
        reply = yield self._write("DELETE", kind, name, condition, None)
        return StoredObject(kind, name, read_version(reply), b"", deleted=True)

    def watch(self, kinds, revision, on_events, on_end):
        """Watch objects of some kinds.

        Parameters
        ----------
        kinds : iterable of Kind
            Kinds of the objects.
        revision : int
            Only events after this revision are reported.
        on_events : callable
            Called with an ObjectPage of events.
        on_end : callable
            Called once with a StoreError when the watch ends by itself.

        Returns
        -------
        HttpWatch
        """
        watch = HttpWatch(self._client, kinds, revision, on_events, on_end)
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
            reply = yield self._client.call(
                method, path, self._timeout, (condition,), value
            )
        except NotSent as error:
            raise StoreUnavailable(str(error)) from error
        except HttpFailure as error:
            raise WriteOutcomeUnknown(f"{kind.value}/{name}: {error}") from error
        _check_written(reply, kind, name)
        return reply

    @inlineCallbacks
    def _get(self, path):
        for attempt in range(self._attempts):
            if attempt:
                yield self._back_off(attempt)
            try:
                reply = yield self._client.call("GET", path, self._timeout)
            except HttpFailure as error:
                failure = StoreUnavailable(str(error))
                continue
            if reply.status < _FIRST_SERVER_ERROR:
                return reply
            failure = StoreUnavailable(f"the object API answered {reply.status}")
        raise failure

    def _back_off(self, attempt):
        max_delay = RETRY_BACKOFF.total_seconds() * 2**attempt
        delay = self._random.uniform(0, max_delay)
        return deferLater(self._client.reactor, delay, lambda: None)


def _make_path(kind, name):
    return f"/objects/{kind.value}/{quote(name, safe='')}"


def _check_ok(reply):
    if reply.status != _OK:
        raise StoreUnavailable(f"the object API answered {reply.status}")


def _check_written(reply, kind, name):
    key = f"{kind.value}/{name}"
    if reply.status == _OK:
        return
    if reply.status == _CONFLICT:
        raise VersionConflict(key, _read_current(reply, kind, name))
    if reply.status == _NOT_FOUND:
        raise ObjectNotFound(key)
    if reply.status == _TOO_LARGE:
        raise ObjectTooLarge(key)
    if reply.status >= _FIRST_SERVER_ERROR:
        raise WriteOutcomeUnknown(f"{key}: the object API answered {reply.status}")
    raise StoreUnavailable(f"{key}: the object API answered {reply.status}")


def _read_current(reply, kind, name):
    if reply.find_header("etag") is None:
        return None
    return StoredObject(kind, name, read_version(reply), reply.body)
