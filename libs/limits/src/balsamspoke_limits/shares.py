"""One process's units of one group, and their record in the object API."""

from datetime import timedelta

from balsamspoke_types.exceptions import (
    ObjectNotFound,
    StoreError,
    VersionConflict,
    WriteOutcomeUnknown,
)
from balsamspoke_types.objects import Kind

from .bucket import MICRO
from .exceptions import GroupRecordError
from .ledger import Ledger
from .records import GroupRecord

_MICROSECOND = timedelta(microseconds=1)
_CONFLICT_DELAY = timedelta(milliseconds=20)
_NO_VERSION = 0


class GroupShare:
    """Hold units of a group, and change them by conditional writes only.

    Parameters
    ----------
    index : int
        The group.
    process : ProcessId
        Who holds them.
    clock, random_source, store, settings
        As for TeamBudgets.
    plan : callable
        Called with the share and a GroupRecord; returns the wanted one.
    reclaimer : Reclaimer
        Told of what the object API certainly holds.
    """

    def __init__(
        self, index, process, clock, random_source, store, settings, plan, reclaimer
    ):
        self.index = index
        self.name = f"group-{index}"
        self.ledger = Ledger(settings.units, settings.grant_lifetime)
        self.record = GroupRecord()
        self._process = process
        self._clock = clock
        self._random = random_source
        self._store = store
        self._settings = settings
        self._plan = plan
        self.reclaimer = reclaimer
        self._version = None
        self._settled_units = 0
        self._is_settled = True
        self._is_busy = False
        self._confirmed_at = None
        self._list_counts = False
        self._next_call = timedelta(0)
        self._next_read = timedelta(0)

    @property
    def is_read(self):
        """Whether the record was read."""
        return self._version is not None

    @property
    def is_idle(self):
        """Whether nothing is held and no write is open."""
        return self._is_settled and not self._is_busy and not self._settled_units

    def is_usable(self, now):
        """Return whether tokens may be granted at a monotonic time."""
        if not self.ledger.units or self._confirmed_at is None:
            return False
        return now - self._confirmed_at <= self._settings.confirmation_lifetime

    def take(self, team, limits, tokens, now):
        """Take whole tokens, up to a number; return bucket and hold (or None)."""
        if not self.is_usable(now):
            return None, None
        micros = now // _MICROSECOND
        bucket = self.ledger.find_bucket(team, limits, micros)
        most = min(tokens, bucket.level // MICRO)
        hold = bucket.take(most * MICRO, micros) if most > 0 else None
        return bucket, hold

    def note_vms(self, is_shown, asked_at):
        """Take a VM list as a confirmation, if it continues an earlier one."""
        confirmed = self._confirmed_at
        lifetime = self._settings.confirmation_lifetime
        lapsed = confirmed is None or asked_at - confirmed > lifetime
        if not is_shown or lapsed:
            self._list_counts = False
        elif self._list_counts:
            self._confirmed_at = max(confirmed, asked_at)

    def pulse(self, now, hurry=False):
        """Read or write the record if that is due."""
        if self._is_busy or (now < self._next_call and not hurry):
            return
        if self._version is None or now >= self._next_read:
            self._read(now)
        elif self._must_write(now):
            self._write(now)

    def _must_write(self, now):
        if not self._is_settled:
            return True
        if self.record.held_by(self._process) != self.ledger.units:
            return True
        if self.ledger.units and self._needs_confirmation(now):
            return True
        return self._plan(self, self.record) != self.record

    def _needs_confirmation(self, now):
        if not self._list_counts or self._process in self.record.marks:
            return True
        return now - self._confirmed_at > self._settings.confirmation_lifetime / 2

    def _read(self, now):
        self._is_busy = True
        reading = self._store.read(Kind.BUDGET, self.name)
        reading.addCallbacks(self._take_read, self._take_read_failure)
        # Units that others free are found soon by a holder that has none.
        settings = self._settings
        has_units = self.ledger.units > 0
        interval = settings.refresh_interval if has_units else settings.retry_interval
        self._next_read = now + interval * (0.5 + self._random.random())

    def _take_read(self, found):
        self._is_busy = False
        # A read may be older than what is known, and changes no units.
        now = self._clock.monotonic()
        is_newer = self._version is None or found.version > self._version
        if is_newer and not self._learn(found):
            self._wait(now)
            return
        self.pulse(now, hurry=True)

    def _take_read_failure(self, failure):
        self._is_busy = False
        now = self._clock.monotonic()
        if failure.check(ObjectNotFound) and self._version is None:
            self._version = _NO_VERSION
            self.pulse(now, hurry=True)
            return
        failure.trap(StoreError)
        if self._version is None:
            self._next_read = now
        self._wait(now)

    def _learn(self, found):
        try:
            record = GroupRecord.decode(found.value)
        except GroupRecordError:
            return False
        self.record = record
        self._version = found.version
        return True

    def _write(self, now):
        wanted = self._plan(self, self.record)
        units = wanted.held_by(self._process)
        if units < self.ledger.units:
            self._use(units)
        self._is_busy = True
        value = wanted.encode()
        if self._version == _NO_VERSION:
            writing = self._store.create(Kind.BUDGET, self.name, value)
        else:
            writing = self._store.update(Kind.BUDGET, self.name, value, self._version)
        writing.addCallbacks(
            self._settle,
            self._take_write_failure,
            callbackArgs=(now,),
            errbackArgs=(now,),
        )

    def _settle(self, found, sent_at):
        """Take what the object API certainly held after a moment.

        Returns
        -------
        bool
            Whether it could be read.
        """
        self._is_busy = False
        now = self._clock.monotonic()
        if not self._learn(found):
            self._wait(now)
            return False
        self._is_settled = True
        self._settled_units = self.record.held_by(self._process)
        self.reclaimer.note_written(self.record, now)
        self._use(self._settled_units)
        if self._process not in self.record.marks:
            self._confirmed_at = sent_at
            self._list_counts = True
        return True

    def _take_write_failure(self, failure, sent_at):
        self._is_busy = False
        now = self._clock.monotonic()
        if failure.check(VersionConflict):
            self._take_conflict(failure.value.current, sent_at, now)
            return
        failure.trap(StoreError)
        if failure.check(WriteOutcomeUnknown):
            self._is_settled = False
        elif self._is_settled:
            self._use(self._settled_units)
        self._wait(now)

    def _take_conflict(self, current, sent_at, now):
        if current is None:
            self._version = _NO_VERSION
            self.record = GroupRecord()
            self._is_settled = True
            self._settled_units = 0
            self._use(0)
            self._wait(now)
            return
        if not self._settle(current, sent_at):
            return
        delay = _CONFLICT_DELAY * (0.5 + self._random.random())
        self._next_call = now + delay
        self._clock.call_later(delay, self._pulse_now)

    def _pulse_now(self):
        self.pulse(self._clock.monotonic())

    def _use(self, units):
        self.ledger.set_units(units, self._clock.monotonic() // _MICROSECOND)

    def _wait(self, now):
        spread = 0.5 + self._random.random()
        self._next_call = now + self._settings.retry_interval * spread
