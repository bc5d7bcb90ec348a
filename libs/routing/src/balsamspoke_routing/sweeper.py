"""Deletion of expired idempotency records, by one process at a time."""

from dataclasses import dataclass
from datetime import datetime

import orjson
from balsamspoke_types.exceptions import ObjectNotFound, StoreError
from balsamspoke_types.objects import Kind
from balsamspoke_types.timing import sleep
from twisted.internet.defer import inlineCallbacks

from .exceptions import RecordMalformed
from .records import IdempotencyRecord
from .settings import LedgerSettings

SWEEP_STATE_NAME = ".sweep"


@dataclass(frozen=True, slots=True)
class _SweepState:
    """Stored state of the sweeps, shared by all processes.

    Attributes
    ----------
    started_at : datetime
        Wall-clock time at which the last sweep started.
    page : str
        Page token at which the next sweep continues; empty for the first page.
    """

    started_at: datetime
    page: str

    def encode(self):
        """Return the state as JSON bytes for the object API."""
        return orjson.dumps({"taken": self.started_at.isoformat(), "page": self.page})

    @classmethod
    def decode(cls, value):
        """Return the state that ``encode`` turned into these bytes.

        Raises
        ------
        RecordMalformed
            If the bytes aren't an encoded state.
        """
        try:
            fields = orjson.loads(value)
            return cls(datetime.fromisoformat(fields["taken"]), fields["page"])
        except (ValueError, KeyError, TypeError) as error:
            raise RecordMalformed("the object isn't a valid sweep state") from error


class RecordSweeper:
    """Delete expired records periodically, in sweeps that one process claims.

    Two processes may sweep at a time after a lost reply. That is harmless, as each
    deletion is conditional on the object version that was found to be expired.

    Parameters
    ----------
    clock : Clock
        Source of wall-clock time and timers.
    store : ObjectStore
        Object API that stores the records.
    random_source : random.Random
        Source of the random intervals, which spread the processes' sweeps.
    settings : LedgerSettings or None
        Retention and limits of a sweep; the defaults if None.

    Attributes
    ----------
    deleted : int
        Number of records that this process has deleted.
    """

    def __init__(self, clock, store, random_source, settings=None):
        self._clock = clock
        self._store = store
        self._random = random_source
        self._settings = settings or LedgerSettings()
        self._timer = None
        self.deleted = 0

    def start(self):
        """Schedule sweeps at random intervals until stopped."""
        delay = self._settings.sweep_interval * (0.5 + self._random.random())
        self._timer = self._clock.call_later(delay, self._run)

    def stop(self):
        """Schedule no more sweeps."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    @inlineCallbacks
    def sweep(self):
        """Sweep once if the sweep interval has passed since the last sweep.

        Returns
        -------
        Deferred of None
            Errors of the object API and malformed states only end the sweep.
        """
        try:
            state = yield self._claim_sweep()
            if state is not None:
                yield self._sweep_pages(state)
        except (StoreError, RecordMalformed):
            # Another process claimed the sweep, or the object API is unavailable.
            # A later sweep deletes what is left.
            return

    def _run(self):
        self.start()
        self.sweep()

    @inlineCallbacks
    def _claim_sweep(self):
        now = self._clock.now()
        try:
            stored_object = yield self._store.read(Kind.IDEMPOTENCY, SWEEP_STATE_NAME)
        except ObjectNotFound:
            state = _SweepState(now, "")
            stored = yield self._store.create(
                Kind.IDEMPOTENCY, SWEEP_STATE_NAME, state.encode()
            )
            return stored
        previous = _SweepState.decode(stored_object.value)
        if now - previous.started_at < self._settings.sweep_interval:
            return None
        state = _SweepState(now, previous.page)
        return (
            yield self._store.update(
                Kind.IDEMPOTENCY,
                SWEEP_STATE_NAME,
                state.encode(),
                stored_object.version,
            )
        )

    @inlineCallbacks
    def _sweep_pages(self, stored):
        state = _SweepState.decode(stored.value)
        page = state.page
        remaining_deletes = self._settings.maximum_sweep_deletes
        for _ in range(self._settings.maximum_sweep_pages):
            listed = yield self._store.list_page(Kind.IDEMPOTENCY, page)
            for stored_object in listed.objects:
                if remaining_deletes > 0 and self._is_expired(stored_object):
                    remaining_deletes -= 1
                    yield self._delete(stored_object)
                    yield sleep(self._clock, self._settings.sweep_pause)
            if remaining_deletes == 0:
                # The next sweep continues with the rest of this page.
                break
            page = listed.next_page
            if not page:
                break
        state = _SweepState(state.started_at, page)
        yield self._store.update(
            Kind.IDEMPOTENCY, SWEEP_STATE_NAME, state.encode(), stored.version
        )

    @inlineCallbacks
    def _delete(self, stored_object):
        try:
            yield self._store.delete(
                Kind.IDEMPOTENCY, stored_object.name, stored_object.version
            )
        except StoreError:
            # The record has changed or is gone, or a later sweep deletes it.
            return
        self.deleted += 1

    def _is_expired(self, stored_object):
        try:
            record = IdempotencyRecord.decode(stored_object.value)
        except RecordMalformed:
            return False
        return self._clock.now() - record.written > self._settings.retention_period
