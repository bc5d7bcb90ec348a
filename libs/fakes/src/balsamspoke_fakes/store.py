"""In-memory fake of the object API, with injectable faults."""

import random
from datetime import timedelta

from balsamspoke_types.exceptions import (
    ObjectNotFound,
    ObjectTooLarge,
    StoreUnavailable,
    VersionConflict,
    WatchExpired,
    WriteOutcomeUnknown,
)
from balsamspoke_types.ports import ObjectPage, ObjectStore, StoredObject, Watch
from twisted.internet.defer import Deferred

MAX_VALUE_BYTES = 1_000_000
PAGE_SIZE = 500


class StoreState:
    """State of the object API, shared by the FakeStores of all processes.

    Attributes
    ----------
    revision : int
        Revision of the last write.
    available : bool
        Set to False to simulate an outage for all processes.
    history : list of StoredObject
        Every write, in order.
    objects : dict
        Current objects by kind and name.
    watches : list of Watch
        Running watches of all processes.
    """

    def __init__(self):
        self.revision = 0
        self.available = True
        self.history = []
        self.objects = {}
        self.watches = []

    def put(self, kind, name, value, deleted=False):
        """Write an object without a condition, as an operator does; return it."""
        self.revision += 1
        written = StoredObject(kind, name, self.revision, value, deleted)
        self.history.append(written)
        if deleted:
            self.objects.pop((kind, name), None)
        else:
            self.objects[kind, name] = written
        for watch in list(self.watches):
            watch.handle_write(written)
        return written


class _FakeWatch(Watch):
    def __init__(self, store, kinds, on_events, on_end):
        self._store = store
        self._kinds = kinds
        self._on_events = on_events
        self._on_end = on_end
        self.is_running = True
        store.state.watches.append(self)

    def stop(self):
        self.is_running = False
        if self in self._store.state.watches:
            self._store.state.watches.remove(self)

    def handle_write(self, written):
        if written.kind in self._kinds and not self._store.is_lost("watch"):
            page = ObjectPage((written,), written.version)
            self._store.answer_later(self._deliver, page)
            if self._store.duplicates_events:
                self._store.answer_later(self._deliver, page)

    def deliver_missed(self, missed, revision):
        self._store.answer_later(self._deliver, ObjectPage(tuple(missed), revision))

    def end(self, error):
        if self.is_running:
            self.stop()
            self._on_end(error)

    def _deliver(self, page):
        if self.is_running:
            self._on_events(page)


class FakeStore(ObjectStore):
    """A process's client of the fake object API.

    Parameters
    ----------
    state : StoreState
        State shared with the clients of other processes.
    clock : VirtualClock
        Clock of the process; replies that arrive while it is paused are handled on
        resume.
    random_source : random.Random, optional
        Source of the losses of replies and events.

    Attributes
    ----------
    delay : timedelta
        Network delay in each direction.
    timeout : timedelta
        Time after the arrival of a call at which it fails if there is no reply.
    reachable : bool
        Set to False to disconnect this process from the object API.
    lost_reply_rate : float
        Share of the calls whose reply is lost; writes among them still take effect.
    stale_reads : int
        Number of revisions by which reads lag.
    duplicates_events : bool
        Whether watch events are delivered twice.
    lost_event_rate : float
        Share of the watch events that are lost.
    calls : int
        Number of calls and watches started.
    """

    def __init__(self, state, clock, random_source=None):
        self.state = state
        self.clock = clock
        self.random = random_source or random.Random(0)
        self.delay = timedelta(milliseconds=1)
        self.timeout = timedelta(seconds=2)
        self.reachable = True
        self.lost_reply_rate = 0.0
        self.lost_event_rate = 0.0
        self.stale_reads = 0
        self.duplicates_events = False
        self.calls = 0

    def read(self, kind, name):
        """Return a Deferred of the StoredObject."""
        return self._call(self._read, kind, name)

    def list_page(self, kind, page=""):
        """Return a Deferred of an ObjectPage of a kind, ordered by name."""
        return self._call(self._list_page, kind, page)

    def create(self, kind, name, value):
        """Create an object; return a Deferred of it."""
        return self._call(self._write, kind, name, value, None, writes=True)

    def update(self, kind, name, value, version):
        """Replace an object; return a Deferred of the new one."""
        return self._call(self._write, kind, name, value, version, writes=True)

    def delete(self, kind, name, version):
        """Delete an object; return a Deferred of its tombstone."""
        return self._call(self._delete, kind, name, version, writes=True)

    def watch(self, kinds, revision, on_events, on_end):
        """Watch kinds for events after a revision; return a Watch."""
        self.calls += 1
        watch = _FakeWatch(self, kinds, on_events, on_end)
        if not self.is_up():
            self.answer_later(watch.end, StoreUnavailable("object API is unavailable"))
            return watch
        missed = [
            written
            for written in self.state.history
            if written.version > revision and written.kind in kinds
        ]
        if missed:
            watch.deliver_missed(missed, self.state.revision)
        return watch

    def end_watches(self):
        """End the watches of this process, as an outage or a partition does."""
        for watch in list(self.state.watches):
            if watch._store is self:
                self.answer_later(watch.end, WatchExpired("watch ended"))

    def is_up(self):
        """Return whether calls of this process reach the object API now."""
        return self.state.available and self.reachable

    def is_lost(self, what):
        """Decide whether a reply or an event is lost.

        Parameters
        ----------
        what : str
            ``"watch"`` for an event of a watch, ``"reply"`` for a reply.
        """
        if not self.is_up():
            return True
        rate = self.lost_event_rate if what == "watch" else self.lost_reply_rate
        return rate > 0 and self.random.random() < rate

    def answer_later(self, function, *arguments):
        """Call a function of the process after the network delay."""
        when = self.clock.time.elapsed + self.delay
        self.clock.time.schedule(when, self.clock.run_or_defer, function, *arguments)

    def _call(self, operation, *arguments, writes=False):
        self.calls += 1
        result = Deferred()
        arrival_time = self.clock.time.elapsed + self.delay
        self.clock.time.schedule(
            arrival_time, self._arrive, result, operation, arguments, writes
        )
        return result

    def _arrive(self, result, operation, arguments, writes):
        if not self.is_up():
            error = StoreUnavailable("object API is unavailable")
            self._fail_after_timeout(result, error)
            return
        outcome, has_failed = self._try(operation, arguments)
        if self.is_lost("reply"):
            error_class = WriteOutcomeUnknown if writes else StoreUnavailable
            self._fail_after_timeout(result, error_class("the reply was lost"))
            return
        callback = result.errback if has_failed else result.callback
        self.answer_later(callback, outcome)

    def _fail_after_timeout(self, result, error):
        when = self.clock.time.elapsed + self.timeout
        self.clock.time.schedule(when, self.clock.run_or_defer, result.errback, error)

    @staticmethod
    def _try(operation, arguments):
        try:
            return operation(*arguments), False
        except Exception as error:
            return error, True

    def _read(self, kind, name):
        stored = self._view().get((kind, name))
        if stored is None:
            raise ObjectNotFound(f"{kind.value}/{name}")
        return stored

    def _list_page(self, kind, page):
        view = self._view()
        names = sorted(name for other, name in view if other is kind and name > page)
        objects = tuple(view[kind, name] for name in names[:PAGE_SIZE])
        next_page = objects[-1].name if len(names) > PAGE_SIZE else ""
        return ObjectPage(objects, self.state.revision - self.stale_reads, next_page)

    def _view(self):
        if not self.stale_reads:
            return self.state.objects
        view = {}
        for written in self.state.history:
            if written.version > self.state.revision - self.stale_reads:
                break
            view[written.kind, written.name] = written
        return {key: stored for key, stored in view.items() if not stored.deleted}

    def _write(self, kind, name, value, version):
        if len(value) > MAX_VALUE_BYTES:
            raise ObjectTooLarge(f"{kind.value}/{name}: {len(value)} bytes")
        self._check_version(kind, name, version)
        return self.state.put(kind, name, value)

    def _delete(self, kind, name, version):
        if (kind, name) not in self.state.objects:
            raise ObjectNotFound(f"{kind.value}/{name}")
        self._check_version(kind, name, version)
        return self.state.put(kind, name, b"", deleted=True)

    def _check_version(self, kind, name, version):
        current = self.state.objects.get((kind, name))
        if (current.version if current else None) != version:
            raise VersionConflict(f"{kind.value}/{name}", current)
