"""Quarantine that lasts beyond the process, in the platform's store."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from datetime import datetime, timedelta

from balsamspoke_types.exceptions import StoreUnavailable
from balsamspoke_types.timing import sleep
from twisted.internet.defer import CancelledError
from twisted.python.failure import Failure

from .messages import QuarantineEntry

# Interval of attempts to write what is not stored yet.
WRITE_INTERVAL = timedelta(milliseconds=600)
# Removed records that are remembered, to be removed again from a restored store.
MAX_REMEMBERED = 1_000


@dataclass(frozen=True, slots=True)
class QuarantineRecord:
    """A set of prompt parts in quarantine, as stored.

    Attributes
    ----------
    parts : tuple of str
        Ids of the parts, sorted.
    ends_at : datetime
        Time of day at which the quarantine ends, with its time zone.
    """

    parts: tuple[str, ...]
    ends_at: datetime


class QuarantineStore(ABC):
    """The quarantine in the platform's store.

    All calls fail with StoreUnavailable if the store does not answer.
    """

    @abstractmethod
    def list_all(self):
        """Return an awaitable list of QuarantineRecords."""

    @abstractmethod
    def put(self, record):
        """Write a QuarantineRecord; return an awaitable."""

    @abstractmethod
    def remove(self, parts):
        """Remove the record of parts, a sorted tuple of ids; return an awaitable."""


class QuarantineStorage:
    """Keep the records in line with what this process has put in quarantine.

    Processes that all start anew at once learn from the records which requests not to
    send, and so do processes that don't hear one another. Only the process that found a
    cause writes its record, and removes it when the quarantine ends; a record whose
    writer is gone is removed by the next process that starts after its end.

    Parameters
    ----------
    clock : Clock
        Source of times.
    store : QuarantineStore
        Holds the records.
    on_error : callable
        Called with each StoreUnavailable.
    report_bug : callable
        Called with the Failure of an unexpected error.
    """

    def __init__(self, clock, store, on_error, report_bug):
        self._clock = clock
        self._store = store
        self._on_error = on_error
        self._report_bug = report_bug
        self._records = {}
        self._unwritten = set()
        self._removed = set()
        self._ended = set()

    async def load(self):
        """Return a list of QuarantineEntries of the records, once the store answers.

        Records that have ended are removed.
        """
        records = await self._list_records()
        while records is None:
            await sleep(self._clock, WRITE_INTERVAL)
            records = await self._list_records()
        now = self._clock.now()
        self._removed |= {each.parts for each in records if each.ends_at <= now}
        return _make_entries(records, now)

    async def read(self):
        """Return a list of QuarantineEntries; empty if the store does not answer."""
        records = await self._list_records()
        return _make_entries(records or [], self._clock.now())

    async def _list_records(self):
        """Return a list of QuarantineRecords; None if that fails."""
        try:
            return await self._store.list_all()
        except StoreUnavailable as error:
            self._on_error(error)
        except CancelledError:
            raise
        except Exception:
            # Without its loop the process would learn and store nothing any more.
            self._report_bug(Failure())
        return None

    def add(self, parts, time_left):
        """Store a set of parts for a timedelta; it is written by ``run``."""
        name = tuple(sorted(parts))
        self._records[name] = QuarantineRecord(name, self._clock.now() + time_left)
        self._unwritten.add(name)
        self._removed.discard(name)

    def retain(self, sets):
        """Remove the records of all sets that are not among the given ones."""
        kept = {tuple(sorted(parts)) for parts in sets}
        for name in set(self._records) - kept:
            del self._records[name]
            self._unwritten.discard(name)
            self._removed.add(name)

    def rewrite(self):
        """Write and remove all records again, as the store has lost the changes."""
        self._unwritten = set(self._records)
        self._removed |= self._ended - self._unwritten

    async def run(self):
        """Write and remove records until cancelled."""
        while True:
            try:
                await self._write_pending()
            except StoreUnavailable as error:
                self._on_error(error)
            except CancelledError:
                raise
            except Exception:
                # What can't be written must not keep the rest from being written.
                self._report_bug(Failure())
                self._unwritten.clear()
            await sleep(self._clock, WRITE_INTERVAL)

    async def _write_pending(self):
        for name in list(self._unwritten):
            await self._store.put(self._records[name])
            self._unwritten.discard(name)
        for name in list(self._removed):
            await self._store.remove(name)
            self._removed.discard(name)
            self._remember_ended(name)

    def _remember_ended(self, name):
        if len(self._ended) >= MAX_REMEMBERED:
            self._ended.clear()
        self._ended.add(name)


def _make_entries(records, now):
    """Return QuarantineEntries of QuarantineRecords at a time of day."""
    return [
        QuarantineEntry(each.parts, (each.ends_at - now).total_seconds())
        for each in records
    ]
