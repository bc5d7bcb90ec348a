"""Idempotency records in the object API: the proof of at most once."""

import itertools
from collections import OrderedDict
from dataclasses import replace

from balsamspoke_types.exceptions import (
    ObjectNotFound,
    StoreError,
    StoreUnavailable,
    VersionConflict,
    WriteOutcomeUnknown,
)
from balsamspoke_types.objects import Kind
from balsamspoke_types.timing import sleep
from twisted.internet.defer import inlineCallbacks

from .claims import (
    AnswerSaved,
    Granted,
    HeldRecord,
    KeyReused,
    OutcomeUnknown,
    Pending,
)
from .exceptions import RecordMalformed, RecordUnavailable
from .records import (
    IdempotencyRecord,
    RecordState,
    digest_request,
    name_record,
)
from .settings import LedgerSettings


class IdempotencyLedger:
    """Claim idempotency keys before a request is handed over.

    An attempt may be handed over only after ``claim`` or ``renew`` granted it. Every
    write is conditional on the version that it follows and carries an operation id,
    so that one whose reply was lost is recognised when it is tried again.

    Parameters
    ----------
    process : ProcessId
        This process.
    clock : Clock
        Time.
    store : ObjectStore
        Where the records are.
    random_source : random.Random
        Draws waits.
    settings : LedgerSettings
        Bounds.
    """

    def __init__(self, process, clock, store, random_source, settings=None):
        self._process = process
        self._clock = clock
        self._store = store
        self._random = random_source
        self.settings = settings or LedgerSettings()
        self._numbers = itertools.count(1)
        # Writes that may be there although their attempt was never handed over.
        self._unsettled = OrderedDict()

    @inlineCallbacks
    def claim(self, request, attempt, replica):
        """Create the record of a CallRequest, or find out what its key stands for.

        Returns
        -------
        Deferred
            Of Granted, AnswerSaved, Pending, OutcomeUnknown or KeyReused; fails with
            RecordUnavailable, and the attempt must not be handed over then.
        """
        name = name_record(request.team, request.idempotency_key)
        record = self._make_record(digest_request(request), attempt, replica)
        found = yield self._write(name, record, None)
        if found.record.operation == record.operation:
            return Granted(found)
        if found.record.digest != record.digest:
            return KeyReused()
        if not self._may_take_over(found.record):
            return self._classify(found)
        return (yield self.renew(found, attempt, replica))

    @inlineCallbacks
    def renew(self, held, attempt, replica):
        """Replace the attempt of a record by another.

        Only for a record whose attempt is known never to run. Returns as ``claim``.
        """
        record = self._make_record(held.record.digest, attempt, replica)
        found = yield self._write(held.name, record, held.version)
        if found.record.operation == record.operation:
            return Granted(found)
        return self._classify(found)

    def save_answer(self, held, response):
        """Keep the answer of a held record's attempt; a Deferred of whether it is."""
        if len(response.body) > self.settings.maximum_body_bytes:
            response = None
        return self._save(held, RecordState.ANSWERED, response)

    def save_unknown(self, held):
        """Note that the held record's attempt may have run; as ``save_answer``."""
        return self._save(held, RecordState.UNKNOWN)

    def release(self, held):
        """Note that the held record's attempt never runs; as ``save_answer``."""
        return self._save(held, RecordState.NOT_RUN)

    def get_age(self, held):
        """Return how long ago a held record was written, by the wall clocks."""
        return self._clock.now() - held.record.written

    def _make_record(self, digest, attempt, replica):
        return IdempotencyRecord(
            digest=digest,
            attempt=attempt,
            replica=replica,
            state=RecordState.PENDING,
            operation=self._draw_operation(),
            written=self._clock.now(),
        )

    def _draw_operation(self):
        return f"{self._process}/{next(self._numbers)}"

    def _may_take_over(self, record):
        """Whether the record's attempt is known never to run."""
        return (
            record.state is RecordState.NOT_RUN or record.operation in self._unsettled
        )

    @staticmethod
    def _classify(found):
        state = found.record.state
        if state is RecordState.ANSWERED:
            return AnswerSaved(found.record.response)
        if state is RecordState.UNKNOWN:
            return OutcomeUnknown()
        # One that is known not to have run was changed by somebody a moment ago.
        return Pending(found)

    @inlineCallbacks
    def _save(self, held, state, response=None):
        record = replace(
            held.record,
            state=state,
            response=response,
            operation=self._draw_operation(),
            written=self._clock.now(),
        )
        for number in range(1, self.settings.save_tries + 1):
            try:
                found = yield self._write(held.name, record, held.version)
            except RecordUnavailable:
                yield self._sleep(number)
                continue
            return found.record.operation == record.operation
        return False

    @inlineCallbacks
    def _write(self, name, record, version):
        """Write a record and settle whether it took effect.

        Gives a HeldRecord: ours, or that of whoever was first.
        """
        sent = False
        for number in range(1, self.settings.write_tries + 1):
            try:
                stored = yield self._send_write(name, record.encode(), version)
                return HeldRecord(name, stored.version, record)
            except VersionConflict as conflict:
                return (yield self._read_other(name, conflict.current))
            except WriteOutcomeUnknown:
                # Trying again is what settles it: if the first took effect, this
                # one meets a conflict with our own operation id.
                sent = True
                yield self._sleep(number)
            except StoreUnavailable as error:
                if not sent:
                    raise RecordUnavailable(str(error)) from error
                yield self._sleep(number)
            except StoreError as error:
                self._remember(record)
                raise RecordUnavailable(str(error)) from error
        self._remember(record)
        raise RecordUnavailable(f"the write of {name} isn't settled")

    def _send_write(self, name, value, version):
        if version is None:
            return self._store.create(Kind.IDEMPOTENCY, name, value)
        return self._store.update(Kind.IDEMPOTENCY, name, value, version)

    @inlineCallbacks
    def _read_other(self, name, current):
        if current is None:
            try:
                current = yield self._store.read(Kind.IDEMPOTENCY, name)
            except (ObjectNotFound, StoreError) as error:
                raise RecordUnavailable(str(error)) from error
        try:
            record = IdempotencyRecord.decode(current.value)
        except RecordMalformed as error:
            raise RecordUnavailable(str(error)) from error
        return HeldRecord(name, current.version, record)

    def _remember(self, record):
        if record.state is not RecordState.PENDING:
            return
        self._unsettled[record.operation] = None
        while len(self._unsettled) > self.settings.remembered_writes:
            self._unsettled.popitem(last=False)

    def _sleep(self, number):
        delay = self.settings.retry_delay * self._random.random() * number
        return sleep(self._clock, delay)
