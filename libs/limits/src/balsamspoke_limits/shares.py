"""Units of one group that this process holds, and their record in the object API."""

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
from .ledger import GroupBuckets
from .records import GroupRecord

_MICROSECOND = timedelta(microseconds=1)
_CONFLICT_DELAY = timedelta(milliseconds=20)
# Version of a record that doesn't exist yet.
_NO_VERSION = 0


class GroupShare:
    """Units of one group that a process holds under a lease.

    Units change only by conditional writes of the group's record. A process stops using
    the units that it releases before it sends the write, and uses the units that it
    claims only after the write is known to have succeeded. While the outcome of a write
    is unknown, it uses the smaller number.

    The lease is renewed by VM lists, and by answers to writes if the record has no
    reclaim mark for this process. When it expires, nothing is granted from the units.

    Parameters
    ----------
    index : int
        Index of the group.
    process : ProcessId
        The process that holds the units.
    clock : Clock
        Monotonic time and timers.
    random_source : random.Random
        Randomises delays.
    store : ObjectStore
        Client of the object API, which stores the record.
    settings : BudgetSettings
        Settings of the budgets.
    plan : callable
        Called with this share and a GroupRecord; returns the record to write.
    reclaimer : Reclaimer
        Receives the records that the object API is certain to have stored.

    Attributes
    ----------
    index : int
        Index of the group.
    name : str
        Name of the record in the object API.
    buckets : GroupBuckets
        Buckets of the group's teams, sized by the units in use.
    record : GroupRecord
        The record as last read or written.
    reclaimer : Reclaimer
        Plans the reclaim marks of the group.
    """

    def __init__(
        self, index, process, clock, random_source, store, settings, plan, reclaimer
    ):
        self.index = index
        self.name = f"group-{index}"
        self.buckets = GroupBuckets(settings.units, settings.grant_lifetime)
        self.record = GroupRecord()
        self._process = process
        self._clock = clock
        self._random = random_source
        self._store = store
        self._settings = settings
        self._plan = plan
        self.reclaimer = reclaimer
        self._version = None
        self._stored_units = 0
        self._is_outcome_known = True
        self._is_busy = False
        self._lease_renewed_at = None
        self._can_list_renew = False
        self._next_call_at = timedelta(0)
        self._next_read_at = timedelta(0)

    @property
    def is_record_known(self):
        """Whether the record was read or is known not to exist."""
        return self._version is not None

    @property
    def is_idle(self):
        """Whether no units are held and no read or write is in progress."""
        return self._is_outcome_known and not self._is_busy and not self._stored_units

    def is_usable(self, now):
        """Return whether units are in use and their lease is valid at ``now``."""
        if not self.buckets.units or self._lease_renewed_at is None:
            return False
        return now - self._lease_renewed_at <= self._settings.lease_duration

    def take(self, team, limits, tokens, now):
        """Take whole tokens from a team's bucket, at most ``tokens``.

        Parameters
        ----------
        team : str
            Name of the team.
        limits : Limits
            The team's limits in force.
        tokens : int
            Most tokens to take.
        now : timedelta
            Monotonic time.

        Returns
        -------
        bucket : Bucket or None
            None if the share isn't usable.
        hold : Hold or None
            None if no whole token is available.
        """
        if not self.is_usable(now):
            return None, None
        micros = now // _MICROSECOND
        bucket = self.buckets.get_bucket(team, limits, micros)
        most = min(tokens, bucket.level // MICRO)
        hold = bucket.take(most * MICRO, micros) if most > 0 else None
        return bucket, hold

    def renew_from_vm_list(self, is_listed, requested_at):
        """Renew the lease from a VM list that shows this process's VM.

        Only a valid lease is renewed. Once the VM is missing from a list or the lease
        has expired, lists don't renew it until the answer to a write has renewed it.

        Parameters
        ----------
        is_listed : bool
            Whether the list shows the VM of this process.
        requested_at : timedelta
            Monotonic time at which the list was requested; the lease counts from it.
        """
        renewed_at = self._lease_renewed_at
        duration = self._settings.lease_duration
        has_lapsed = renewed_at is None or requested_at - renewed_at > duration
        if not is_listed or has_lapsed:
            self._can_list_renew = False
        elif self._can_list_renew:
            self._lease_renewed_at = max(renewed_at, requested_at)

    def sync(self, now, is_forced=False):
        """Start to read or write the record if that is due and neither is in progress.

        Parameters
        ----------
        now : timedelta
            Monotonic time.
        is_forced : bool
            Whether to ignore the backoff.
        """
        if self._is_busy or (now < self._next_call_at and not is_forced):
            return
        if self._version is None or now >= self._next_read_at:
            self._read(now)
        elif self._must_write(now):
            self._write(now)

    def _must_write(self, now):
        if not self._is_outcome_known:
            return True
        if self.record.get_units(self._process) != self.buckets.units:
            return True
        if self.buckets.units and self._needs_renewal(now):
            return True
        return self._plan(self, self.record) != self.record

    def _needs_renewal(self, now):
        if not self._can_list_renew or self._process in self.record.marks:
            return True
        return now - self._lease_renewed_at > self._settings.lease_duration / 2

    def _read(self, now):
        self._is_busy = True
        reading = self._store.read(Kind.BUDGET, self.name)
        reading.addCallbacks(self._handle_read, self._handle_read_failure)
        # A process without units reads more often, to find freed units soon.
        settings = self._settings
        has_units = self.buckets.units > 0
        interval = settings.refresh_interval if has_units else settings.retry_interval
        self._next_read_at = now + interval * (0.5 + self._random.random())

    def _handle_read(self, stored):
        self._is_busy = False
        # A read may return an outdated record, so it doesn't change the units in use.
        now = self._clock.monotonic()
        is_newer = self._version is None or stored.version > self._version
        if is_newer and not self._adopt_record(stored):
            self._back_off(now)
            return
        self.sync(now, is_forced=True)

    def _handle_read_failure(self, failure):
        self._is_busy = False
        now = self._clock.monotonic()
        if failure.check(ObjectNotFound) and self._version is None:
            self._version = _NO_VERSION
            self.sync(now, is_forced=True)
            return
        failure.trap(StoreError)
        if self._version is None:
            self._next_read_at = now
        self._back_off(now)

    def _adopt_record(self, stored):
        try:
            record = GroupRecord.decode(stored.value)
        except GroupRecordError:
            return False
        self.record = record
        self._version = stored.version
        return True

    def _write(self, now):
        wanted = self._plan(self, self.record)
        units = wanted.get_units(self._process)
        if units < self.buckets.units:
            self._apply_units(units)
        self._is_busy = True
        value = wanted.encode()
        if self._version == _NO_VERSION:
            writing = self._store.create(Kind.BUDGET, self.name, value)
        else:
            writing = self._store.update(Kind.BUDGET, self.name, value, self._version)
        writing.addCallbacks(
            self._adopt_stored,
            self._handle_write_failure,
            callbackArgs=(now,),
            errbackArgs=(now,),
        )

    def _adopt_stored(self, stored, sent_at):
        """Adopt a record that the object API is certain to have stored.

        Parameters
        ----------
        stored : StoredObject
            Written by this process, or returned with a version conflict.
        sent_at : timedelta
            Monotonic time before the call that returned it; the lease counts from it.

        Returns
        -------
        bool
            Whether the record could be decoded.
        """
        self._is_busy = False
        now = self._clock.monotonic()
        if not self._adopt_record(stored):
            self._back_off(now)
            return False
        self._is_outcome_known = True
        self._stored_units = self.record.get_units(self._process)
        self.reclaimer.confirm_marks(self.record, now)
        self._apply_units(self._stored_units)
        if self._process not in self.record.marks:
            self._lease_renewed_at = sent_at
            self._can_list_renew = True
        return True

    def _handle_write_failure(self, failure, sent_at):
        self._is_busy = False
        now = self._clock.monotonic()
        if failure.check(VersionConflict):
            self._handle_conflict(failure.value.current, sent_at, now)
            return
        failure.trap(StoreError)
        if failure.check(WriteOutcomeUnknown):
            self._is_outcome_known = False
        elif self._is_outcome_known:
            self._apply_units(self._stored_units)
        self._back_off(now)

    def _handle_conflict(self, current, sent_at, now):
        if current is None:
            self._version = _NO_VERSION
            self.record = GroupRecord()
            self._is_outcome_known = True
            self._stored_units = 0
            self._apply_units(0)
            self._back_off(now)
            return
        if not self._adopt_stored(current, sent_at):
            return
        delay = _CONFLICT_DELAY * (0.5 + self._random.random())
        self._next_call_at = now + delay
        self._clock.call_later(delay, self._sync_now)

    def _sync_now(self):
        self.sync(self._clock.monotonic())

    def _apply_units(self, units):
        self.buckets.set_units(units, self._clock.monotonic() // _MICROSECOND)

    def _back_off(self, now):
        factor = 0.5 + self._random.random()
        self._next_call_at = now + self._settings.retry_interval * factor
