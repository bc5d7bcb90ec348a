"""Idempotency records in the object API, which ensure at-most-once execution."""

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
    KeyReused,
    OutcomeUnknown,
    Pending,
    StoredRecord,
)
from .exceptions import RecordMalformed, RecordUnavailable
from .records import (
    IdempotencyRecord,
    RecordState,
    hash_request,
    make_record_name,
)
from .settings import LedgerSettings


class IdempotencyLedger:
    """Claim idempotency keys and save the outcomes of their attempts.

    An attempt may be handed over only after ``claim`` or ``renew`` has granted it.
    Every write is conditional on the object version it replaces and carries a unique
    operation id. A write whose reply was lost is recognized by that id when it is
    tried again.

    Parameters
    ----------
    process : ProcessId
        This process, part of the operation ids.
    clock : Clock
        Source of wall-clock time and timers.
    store : ObjectStore
        Object API that stores the records.
    random_source : random.Random
        Source of the random retry delays.
    settings : LedgerSettings or None
        Limits of records and writes; the defaults if None.

    Attributes
    ----------
    settings : LedgerSettings
        Limits of records and writes.
    """

    def __init__(self, process, clock, store, random_source, settings=None):
        self._process = process
        self._clock = clock
        self._store = store
        self._random = random_source
        self.settings = settings or LedgerSettings()
        self._operation_numbers = itertools.count(1)
        # Operation ids of claims whose write may have taken effect. Their attempts
        # were never handed over, so the records can be claimed again.
        self._unresolved_operations = OrderedDict()

    @inlineCallbacks
    def claim(self, request, attempt, replica):
        """Claim the idempotency key of a request for an attempt.

        Creates the record of the key. If there is one already whose attempt is known
        never to run, replaces that attempt.

        Parameters
        ----------
        request : CallRequest
            Request with an idempotency key.
        attempt : AttemptId
            Attempt to be handed over once the claim is granted.
        replica : ProcessId
            Side process that the attempt will be sent to.

        Returns
        -------
        Deferred of Granted, AnswerSaved, Pending, OutcomeUnknown or KeyReused
            Fails with RecordUnavailable if the object API can't confirm the claim;
            the attempt must not be handed over then.
        """
        name = make_record_name(request.team, request.idempotency_key)
        record = self._make_record(hash_request(request), attempt, replica)
        latest = yield self._write(name, record, None)
        if latest.record.operation == record.operation:
            return Granted(latest)
        if latest.record.digest != record.digest:
            return KeyReused()
        if not self._is_known_not_run(latest.record):
            return self._classify(latest)
        return (yield self.renew(latest, attempt, replica))

    @inlineCallbacks
    def renew(self, stored_record, attempt, replica):
        """Replace the attempt of a record, which must be known never to run.

        Parameters
        ----------
        stored_record : StoredRecord
            Record of the replaced attempt.
        attempt : AttemptId
            Attempt to be handed over once the claim is granted.
        replica : ProcessId
            Side process that the attempt will be sent to.

        Returns
        -------
        Deferred of Granted, AnswerSaved, Pending or OutcomeUnknown
            Fails with RecordUnavailable if the object API can't confirm the claim;
            the attempt must not be handed over then.
        """
        record = self._make_record(stored_record.record.digest, attempt, replica)
        latest = yield self._write(stored_record.name, record, stored_record.version)
        if latest.record.operation == record.operation:
            return Granted(latest)
        return self._classify(latest)

    def save_answer(self, stored_record, response):
        """Save the answer of a claimed record's attempt.

        A response whose body is over ``maximum_body_bytes`` isn't stored; the record
        then says only that the attempt was answered.

        Returns
        -------
        Deferred of bool
            Whether the outcome was saved.
        """
        if len(response.body) > self.settings.maximum_body_bytes:
            response = None
        return self._save(stored_record, RecordState.ANSWERED, response)

    def save_unknown(self, stored_record):
        """Save that a claimed record's attempt may have run.

        Returns
        -------
        Deferred of bool
            Whether the outcome was saved.
        """
        return self._save(stored_record, RecordState.UNKNOWN)

    def release(self, stored_record):
        """Save that a claimed record's attempt never runs, so that a repeat may run.

        Returns
        -------
        Deferred of bool
            Whether the outcome was saved.
        """
        return self._save(stored_record, RecordState.NOT_RUN)

    def get_age(self, stored_record):
        """Return the time since a record was written, as a timedelta.

        Compares the wall clocks of this process and of the writer.
        """
        return self._clock.now() - stored_record.record.written

    def _make_record(self, digest, attempt, replica):
        return IdempotencyRecord(
            digest=digest,
            attempt=attempt,
            replica=replica,
            state=RecordState.PENDING,
            operation=self._allocate_operation(),
            written=self._clock.now(),
        )

    def _allocate_operation(self):
        return f"{self._process}/{next(self._operation_numbers)}"

    def _is_known_not_run(self, record):
        """Return whether a record's attempt is known never to run."""
        return (
            record.state is RecordState.NOT_RUN
            or record.operation in self._unresolved_operations
        )

    @staticmethod
    def _classify(latest):
        state = latest.record.state
        if state is RecordState.ANSWERED:
            return AnswerSaved(latest.record.response)
        if state is RecordState.UNKNOWN:
            return OutcomeUnknown()
        # A NOT_RUN record gets here only if another process has just changed it.
        return Pending(latest)

    @inlineCallbacks
    def _save(self, stored_record, state, response=None):
        record = replace(
            stored_record.record,
            state=state,
            response=response,
            operation=self._allocate_operation(),
            written=self._clock.now(),
        )
        for number in range(1, self.settings.maximum_save_tries + 1):
            try:
                latest = yield self._write(
                    stored_record.name, record, stored_record.version
                )
            except RecordUnavailable:
                yield self._sleep(number)
                continue
            return latest.record.operation == record.operation
        return False

    @inlineCallbacks
    def _write(self, name, record, version):
        """Write a record and find out whether the write took effect.

        Returns a Deferred of the current StoredRecord: the written one, or that of
        the process whose write came first.
        """
        is_outcome_unknown = False
        for number in range(1, self.settings.maximum_write_tries + 1):
            try:
                stored = yield self._send_write(name, record.encode(), version)
                return StoredRecord(name, stored.version, record)
            except VersionConflict as conflict:
                return (yield self._read_current(name, conflict.current))
            except WriteOutcomeUnknown:
                # Another try resolves the outcome: if this write took effect, the
                # next one conflicts with a record that has our own operation id.
                is_outcome_unknown = True
                yield self._sleep(number)
            except StoreUnavailable as error:
                if not is_outcome_unknown:
                    raise RecordUnavailable(str(error)) from error
                yield self._sleep(number)
            except StoreError as error:
                self._remember_unresolved(record)
                raise RecordUnavailable(str(error)) from error
        self._remember_unresolved(record)
        raise RecordUnavailable(f"the outcome of the write of record {name} is unknown")

    def _send_write(self, name, value, version):
        if version is None:
            return self._store.create(Kind.IDEMPOTENCY, name, value)
        return self._store.update(Kind.IDEMPOTENCY, name, value, version)

    @inlineCallbacks
    def _read_current(self, name, current):
        if current is None:
            try:
                current = yield self._store.read(Kind.IDEMPOTENCY, name)
            except (ObjectNotFound, StoreError) as error:
                raise RecordUnavailable(str(error)) from error
        try:
            record = IdempotencyRecord.decode(current.value)
        except RecordMalformed as error:
            raise RecordUnavailable(str(error)) from error
        return StoredRecord(name, current.version, record)

    def _remember_unresolved(self, record):
        if record.state is not RecordState.PENDING:
            return
        self._unresolved_operations[record.operation] = None
        while (
            len(self._unresolved_operations) > self.settings.maximum_unresolved_writes
        ):
            self._unresolved_operations.popitem(last=False)

    def _sleep(self, number):
        delay = self.settings.retry_delay * self._random.random() * number
        return sleep(self._clock, delay)
