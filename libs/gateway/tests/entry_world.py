"""An entry process that follows a fake store, in virtual time."""

import dataclasses

from balsamspoke_gateway.entry import EntryCore
from balsamspoke_gateway.peers.standing import Standing
from balsamspoke_gateway.ports import EntryRegistry, RecordSource
from balsamspoke_gateway.quarantine import QuarantineStore
from balsamspoke_gateway.store.following import RecordChange, RecordPage, StorePosition
from balsamspoke_gateway.store.records import EntrySources
from balsamspoke_gateway.store.startup import StartupGate
from balsamspoke_gateway.store.watch_times import make_watch_times
from balsamspoke_gateway.stream_versions import (
    RegisterConflict,
    StoredRegister,
    VersionRegisterStore,
)
from balsamspoke_types.exceptions import (
    StoreCutOff,
    StoreSilent,
    StoreUnavailable,
    WatchExpired,
)
from twisted.internet.defer import Deferred, fail, succeed
from twisted.python.failure import Failure

from .world import CONFIGURATION, World, seconds


class FakeStore:
    """Records by kind and name, with a history of changes that can be dropped.

    Attributes
    ----------
    records : dict
        Records by kind and name.
    is_unavailable : bool
        Whether all calls of clients fail.
    revision : int
        Number of changes so far.
    era : int
        Number of times that the store was restored, plus one.
    history : list of tuple
        Revision, kind and RecordChange of each change since the history was dropped.
    pollers : list of callable
        Called without arguments to check a pending poll again.
    silent_kinds : set of str
        Kinds whose lists are not answered yet.
    refuses_registers : bool
        Whether the register of versions can't be written.
    pending_lists : list of callable
        Called without arguments to answer such a list.
    silences : int
        Number of times that open connections have gone silent for good.
    spared_silences : int
        How many of these have spared the connections that wait for no change.
    """

    def __init__(self):
        self.records = {"configurations": {}, "replicas": {}, "versions": {}}
        self.records["entries"] = {}
        self.records["quarantine"] = {}
        self.records["drain requests"] = {}
        self.records["stream versions"] = {}
        self.is_cutting = False
        self.is_unavailable = False
        self.refuses_registers = False
        self.revision = 0
        self.era = 1
        self.history = []
        self.pollers = []
        self.silent_kinds = set()
        self.pending_lists = []
        self.silences = 0
        self.spared_silences = 0

    @property
    def position(self):
        """StorePosition of the last change."""
        return StorePosition(self.era, self.revision)

    def copy(self):
        """Return a copy of the records, from which the store can be restored."""
        return self.revision, {
            kind: dict(records) for kind, records in self.records.items()
        }

    def restore(self, copy):
        """Go back to an older copy, with a new era; pending polls stay unanswered."""
        self.revision, records = copy
        self.records = {kind: dict(found) for kind, found in records.items()}
        self.history.clear()
        self.era += 1

    def answer_lists(self):
        """Answer the pending lists, and all later ones at once."""
        self.silent_kinds.clear()
        pending, self.pending_lists = self.pending_lists, []
        for answer in pending:
            answer()

    def write(self, kind, name, record):
        """Write a record, or remove it (None)."""
        self.revision += 1
        if record is None:
            self.records[kind].pop(name, None)
        else:
            self.records[kind][name] = record
        self.history.append((self.revision, kind, RecordChange(name, record)))
        self.resume_polls()

    def resume_polls(self):
        """Check the pending polls again, for changes, an outage or a lost history."""
        pollers, self.pollers = self.pollers, []
        for poller in pollers:
            poller()

    def go_away(self):
        """Become unavailable, and fail the pending polls."""
        self.is_unavailable = True
        self.resume_polls()

    def cut_polls(self):
        """Close the connections of the pending polls, and go on."""
        self.is_cutting = True
        self.resume_polls()
        self.is_cutting = False

    def silence_connections(self, spares_probes=False):
        """Answer nothing more on the open connections, though new ones work.

        Parameters
        ----------
        spares_probes : bool
            Whether those go on that wait for no change.
        """
        self.silences += 1
        self.spared_silences += spares_probes
        self.pollers = []

    def return_(self):
        """Become available again."""
        self.is_unavailable = False

    def forget_history(self):
        """Drop the history, so that polls from an older revision fail."""
        self.history.clear()
        self.resume_polls()


class FakeSource(RecordSource):
    """Source of the records of one kind in a FakeStore."""

    def __init__(self, store, kind):
        self.store = store
        self.kind = kind

    def list_all(self):
        if self.store.is_unavailable:
            return fail(StoreUnavailable("the store is unavailable"))
        if self.kind in self.store.silent_kinds:
            waiter = Deferred()
            self.store.pending_lists.append(lambda: waiter.callback(self._make_list()))
            return waiter
        return succeed(self._make_list())

    def _make_list(self):
        found = self.store.records[self.kind].items()
        changes = tuple(RecordChange(name, record) for name, record in found)
        return RecordPage(changes, self.store.position)

    def poll(self, position):
        waiter = Deferred()
        self._check_for_changes(position, waiter)
        return waiter

    def _check_for_changes(self, position, waiter):
        store = self.store
        revision = position.revision
        if waiter.called:
            return
        if position.era != store.era and not store.is_unavailable:
            waiter.errback(WatchExpired("the store was restored"))
        elif store.is_cutting:
            waiter.errback(StoreCutOff("connection lost"))
        elif store.is_unavailable:
            waiter.errback(StoreUnavailable("the store is unavailable"))
        elif not store.history and store.revision > revision:
            waiter.errback(WatchExpired("the history was dropped"))
        elif changes := self._find_changes(revision):
            waiter.callback(RecordPage(tuple(changes), store.position))
        else:
            store.pollers.append(lambda: self._check_for_changes(position, waiter))

    def _find_changes(self, revision):
        return [
            change
            for number, kind, change in self.store.history
            if number > revision and kind == self.kind
        ]


class WatchedSource(FakeSource):
    """Source whose polls end after a time, for a process that may be cut or paused."""

    answer_timeout = seconds(0.7)
    default_watch_time = seconds(3.8)

    def __init__(self, store, kind, world, watch_time=None):
        super().__init__(store, kind)
        self.world = world
        self.watch_time = watch_time or self.default_watch_time

    def list_all(self):
        if self.world.is_cut:
            return fail(StoreUnavailable("no path to the store"))
        return super().list_all()

    def poll(self, position):
        answer = Deferred()
        clock = self.world.clock
        silences = self.store.silences

        def deliver(result):
            # An answer that meets a cut is lost, and so is one on a silent connection.
            is_lost = self.world.is_cut or self.store.silences != silences
            if not is_lost and not answer.called:
                answer.callback(result)

        super().poll(position).addBoth(
            lambda result: clock.run_or_defer(deliver, result)
        )
        clock.call_later(self.watch_time, deliver, RecordPage((), position))
        overdue = Failure(StoreSilent("no answer"))
        timeout = self.watch_time + self.answer_timeout
        clock.call_later(timeout, self._fail, answer, overdue)
        return answer

    @staticmethod
    def _fail(answer, failure):
        if not answer.called:
            answer.errback(failure)


class FakeRegistry(EntryRegistry):
    """List of entry processes in a FakeStore, for the process at an IP address."""

    answer_timeout = seconds(0.7)

    def __init__(self, store, ip, clock):
        self.store = store
        self.ip = ip
        self._clock = clock
        self._silences = 0

    def register(self):
        if self.store.is_unavailable:
            return fail(StoreUnavailable("the store is unavailable"))
        self.store.write("entries", self.ip, self.ip)
        return succeed(None)

    def remove(self, name):
        if self.store.is_unavailable:
            return fail(StoreUnavailable("the store is unavailable"))
        self.store.write("entries", name, None)
        return succeed(None)

    def probe(self):
        if self.store.is_unavailable:
            return fail(StoreUnavailable("the store is unavailable"))
        silences = self.store.silences - self.store.spared_silences
        if self._silences is None:
            self._silences = silences
        if self._silences == silences:
            return succeed(None)
        # The call after a silent one opens a new connection.
        self._silences = None
        overdue = Deferred()
        error = Failure(StoreSilent("no answer"))
        self._clock.call_later(self.answer_timeout, overdue.errback, error)
        return overdue


class FakeQuarantineStore(QuarantineStore):
    """Quarantine in a FakeStore."""

    def __init__(self, store):
        self.store = store

    def list_all(self):
        if self.store.is_unavailable:
            return fail(StoreUnavailable("the store is unavailable"))
        return succeed(list(self.store.records["quarantine"].values()))

    def put(self, record):
        if self.store.is_unavailable:
            return fail(StoreUnavailable("the store is unavailable"))
        self.store.write("quarantine", record.parts, record)
        return succeed(None)

    def remove(self, parts):
        if self.store.is_unavailable:
            return fail(StoreUnavailable("the store is unavailable"))
        self.store.write("quarantine", parts, None)
        return succeed(None)


class FakeVersionRegister(VersionRegisterStore):
    """Register of versions in a FakeStore, with the revision of its last write."""

    def __init__(self, store):
        self.store = store

    def read(self):
        if self.store.is_unavailable:
            return fail(StoreUnavailable("the store is unavailable"))
        register, revision = self.store.records["stream versions"].get("all", (None, 0))
        return succeed(StoredRegister(register, revision, self.store.era))

    def write(self, register, revision):
        if self.store.is_unavailable or self.store.refuses_registers:
            return fail(StoreUnavailable("the store is unavailable"))
        _, current = self.store.records["stream versions"].get("all", (None, 0))
        if current != revision:
            return fail(RegisterConflict())
        stored = (register, self.store.revision + 1)
        self.store.write("stream versions", "all", stored)
        return succeed(None)


class EntryWorld(World):
    """An entry process that follows a fake store.

    Parameters
    ----------
    store : FakeStore or None
        Store to share with other processes; None for one of its own.
    started : int
        Identifies this start of the process.
    has_watch_times : bool
        Whether watches end without changes after the times that its settings lead to.
    **others
        Parameters of World.

    Attributes
    ----------
    is_cut : bool
        Whether this process has no path to the drain requests in the store.
    """

    def __init__(self, store=None, started=1, has_watch_times=False, **others):
        super().__init__(age=0.0, **others)
        self.context.configuration = None
        self.context.standing = Standing()
        self.context.startup = StartupGate(self.clock)
        self.store = store or FakeStore()
        self.is_cut = False
        has_drains = self.context.settings.domain_drain_time is not None
        sources = EntrySources(
            *(
                self._make_source(kind, has_watch_times)
                for kind in ("configurations", "replicas", "versions", "entries")
            ),
            WatchedSource(self.store, "drain requests", self) if has_drains else None,
        )
        registry = FakeRegistry(self.store, self.context.settings.ip, self.clock)
        self.core = EntryCore(
            self.context,
            sources,
            registry,
            FakeQuarantineStore(self.store),
            FakeVersionRegister(self.store),
            started,
        )

    def _make_source(self, kind, has_watch_times):
        if not has_watch_times:
            return FakeSource(self.store, kind)
        times = make_watch_times(self.context.settings)
        return WatchedSource(self.store, kind, self, getattr(times, kind))

    def forward(self, request, sink):
        """Let the core handle a CallerRequest; return a Deferred that cancels it."""
        return self.core.handle(request, sink)

    def configure(self, version):
        """Write a version of the configuration to the store."""
        configuration = dataclasses.replace(CONFIGURATION, version=version)
        self.store.write("configurations", "main", configuration)

    def list_replica_ids(self):
        """Return the sorted ids of the replicas in the process's directory."""
        return sorted(each.id for each in self.context.fleet.directory.list_all())
