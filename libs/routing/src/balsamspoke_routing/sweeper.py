"""Delete old idempotency records, by one process at a time."""

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

TURN_NAME = ".sweep"


@dataclass(frozen=True, slots=True)
class _Turn:
    """When records were deleted last, and the page to go on with."""

    taken: datetime
    page: str

    def encode(self):
        return orjson.dumps({"taken": self.taken.isoformat(), "page": self.page})

    @classmethod
    def decode(cls, value):
        try:
            fields = orjson.loads(value)
            return cls(datetime.fromisoformat(fields["taken"]), fields["page"])
        except (ValueError, KeyError, TypeError) as error:
            raise RecordMalformed("not a turn of the sweeper") from error


class RecordSweeper:
    """Take turns with other processes at deleting records that are too old.

    Two processes may both sweep after a lost reply; that is harmless, as each
    deletion is conditional on the version that was seen to be old.

    Parameters
    ----------
    clock : Clock
        Time.
    store : ObjectStore
        Where the records are.
    random_source : random.Random
        Spreads the processes' turns.
    settings : LedgerSettings
        Bounds.

    Attributes
    ----------
    deleted : int
        Records that this process deleted.
    """

    def __init__(self, clock, store, random_source, settings=None):
        self._clock = clock
        self._store = store
        self._random = random_source
        self._settings = settings or LedgerSettings()
        self._timer = None
        self.deleted = 0

    def start(self):
        """Take turns until stopped."""
        delay = self._settings.sweep_interval * (0.5 + self._random.random())
        self._timer = self._clock.call_later(delay, self._run)

    def stop(self):
        """Take no more turns."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    @inlineCallbacks
    def sweep(self):
        """Delete some old records if it is time; a Deferred of None."""
        try:
            turn = yield self._take_turn()
            if turn is not None:
                yield self._delete_from(turn)
        except (StoreError, RecordMalformed):
            # Somebody else was first, or the object API is down: at another turn.
            return

    def _run(self):
        self.start()
        self.sweep()

    @inlineCallbacks
    def _take_turn(self):
        now = self._clock.now()
        try:
            found = yield self._store.read(Kind.IDEMPOTENCY, TURN_NAME)
        except ObjectNotFound:
            turn = _Turn(now, "")
            stored = yield self._store.create(
                Kind.IDEMPOTENCY, TURN_NAME, turn.encode()
            )
            return stored
        last = _Turn.decode(found.value)
        if now - last.taken < self._settings.sweep_interval:
            return None
        turn = _Turn(now, last.page)
        return (
            yield self._store.update(
                Kind.IDEMPOTENCY, TURN_NAME, turn.encode(), found.version
            )
        )

    @inlineCallbacks
    def _delete_from(self, stored):
        turn = _Turn.decode(stored.value)
        page = turn.page
        left = self._settings.sweep_deletes
        for _ in range(self._settings.sweep_pages):
            listed = yield self._store.list_page(Kind.IDEMPOTENCY, page)
            for found in listed.objects:
                if left > 0 and self._is_old(found):
                    left -= 1
                    yield self._delete(found)
                    yield sleep(self._clock, self._settings.sweep_pause)
            if left == 0:
                # The rest of this page comes at the next turn.
                break
            page = listed.next_page
            if not page:
                break
        turn = _Turn(turn.taken, page)
        yield self._store.update(
            Kind.IDEMPOTENCY, TURN_NAME, turn.encode(), stored.version
        )

    @inlineCallbacks
    def _delete(self, found):
        try:
            yield self._store.delete(Kind.IDEMPOTENCY, found.name, found.version)
        except StoreError:
            # It was changed just now, or is gone, or comes at another turn.
            return
        self.deleted += 1

    def _is_old(self, found):
        try:
            record = IdempotencyRecord.decode(found.value)
        except RecordMalformed:
            return False
        return self._clock.now() - record.written > self._settings.kept_time
