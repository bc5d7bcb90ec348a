"""Listing and watching of one kind of record in the store, across its outages."""

from dataclasses import dataclass
from datetime import timedelta

from balsamspoke_types.exceptions import StoreUnavailable, WatchExpired
from balsamspoke_types.timing import sleep
from twisted.internet.defer import CancelledError
from twisted.python.failure import Failure

# Backoff after a failed call, doubled up to the maximum. Calls are billed even if the
# store refuses them, and all processes share its rate limit.
MIN_BACKOFF = timedelta(milliseconds=150)
MAX_BACKOFF = timedelta(milliseconds=600)


@dataclass(frozen=True, slots=True)
class RecordChange:
    """A change of one record.

    Attributes
    ----------
    name : str
        Name of the record.
    record : object
        The record as it is now; None if it was removed.
    """

    name: str
    record: object


@dataclass(frozen=True, slots=True)
class RecordPage:
    """Records as of one revision of the store.

    Attributes
    ----------
    changes : tuple of RecordChange
        All records if the page is a list; the changed ones if it comes from a watch.
    revision : int
        Revision from which a watch continues.
    """

    changes: tuple[RecordChange, ...]
    revision: int


class Follower:
    """Follow all records of one kind: list them once, then watch for changes.

    Parameters
    ----------
    source : RecordSource
        Lists and watches the records.
    clock : Clock
        Source of delays.
    reachability : Reachability
        Receives the outcome of each call to the store.
    on_list : callable
        Called with a RecordPage of all records.
    on_change : callable
        Called with a RecordPage of changes.
    min_interval : timedelta or None
        Shortest time between two polls after a change; changes in between arrive
        together.
    report_bug : callable
        Called with the Failure of an unexpected error, after which the records are
        listed again.
    """

    def __init__(
        self,
        source,
        clock,
        reachability,
        on_list,
        on_change,
        min_interval,
        report_bug,
    ):
        self._source = source
        self._clock = clock
        self._reachability = reachability
        self._on_list = on_list
        self._on_change = on_change
        self._min_interval = min_interval
        self._report_bug = report_bug

    async def run(self):
        """Follow the records until cancelled."""
        failures = 0
        while True:
            try:
                revision = await self._list()
                failures = 0
                await self._watch(revision)
            except WatchExpired:
                continue
            except CancelledError:
                raise
            except StoreUnavailable as error:
                self._reachability.record_failure(error)
                delay = min(MAX_BACKOFF, MIN_BACKOFF * 2 ** min(failures, 4))
                failures += 1
                await sleep(self._clock, delay)
            except Exception:
                # Whoever follows the records would never hear of a change again.
                self._report_bug(Failure())
                await sleep(self._clock, MAX_BACKOFF)

    async def _list(self):
        page = await self._source.list_all()
        self._reachability.record_answer()
        self._on_list(page)
        return page.revision

    async def _watch(self, revision):
        while True:
            page = await self._source.poll(revision)
            self._reachability.record_answer()
            if page.changes:
                self._on_change(page)
            revision = max(revision, page.revision)
            if page.changes and self._min_interval:
                await sleep(self._clock, self._min_interval)
