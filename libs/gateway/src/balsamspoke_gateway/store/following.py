"""Listing and watching of one kind of record in the store, across its outages."""

from dataclasses import dataclass
from datetime import timedelta

from balsamspoke_types.exceptions import StoreUnavailable, WatchExpired
from balsamspoke_types.timing import sleep
from twisted.internet.defer import CancelledError, ensureDeferred
from twisted.python.failure import Failure

from ..exceptions import NO_DELAY
from ..observing import WatchFailed

# Backoff after a failed call, doubled up to the maximum. Calls are billed even if the
# store refuses them, and all processes share its rate limit.
MIN_BACKOFF = timedelta(milliseconds=150)
MAX_BACKOFF = timedelta(milliseconds=600)
# Shortest time from the start of a poll to that of the next one, once several polls in
# a row were answered sooner: one record that is written all the time must not cost a
# call for each of its changes.
MIN_POLL_INTERVAL = timedelta(milliseconds=200)
MAX_QUICK_POLLS = 8


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


@dataclass(frozen=True, order=True, slots=True)
class StorePosition:
    """A point in the store's history.

    Attributes
    ----------
    era : int
        Number of times that the store was restored from an older copy, plus a constant.
        Revisions of different eras can't be compared.
    revision : int
        Revision of the last change.
    """

    era: int
    revision: int


@dataclass(frozen=True, slots=True)
class RecordPage:
    """Records as of one position of the store.

    Attributes
    ----------
    changes : tuple of RecordChange
        All records if the page is a list; the changed ones if it comes from a watch.
    position : StorePosition
        Position from which a watch continues.
    """

    changes: tuple[RecordChange, ...]
    position: StorePosition


class Follower:
    """Follow all records of one kind: list them once, then watch for changes.

    Parameters
    ----------
    name : str
        Kind of the records, for events.
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
    observer : Observer
        Receives WatchFailed.
    report_bug : callable
        Called with the Failure of an unexpected error, after which the records are
        listed again.
    """

    def __init__(
        self,
        name,
        source,
        clock,
        reachability,
        on_list,
        on_change,
        min_interval,
        observer,
        report_bug,
    ):
        self._name = name
        self._source = source
        self._clock = clock
        self._reachability = reachability
        self._on_list = on_list
        self._on_change = on_change
        self._min_interval = min_interval
        self._observer = observer
        self._report_bug = report_bug
        # A poll, or a pause that ``restart`` ends.
        self._waiting = None
        self._restart_delay = None
        # Polls in a row that were answered within ``MIN_POLL_INTERVAL``.
        self._quick_polls = 0
        # Watches in a row that have expired.
        self._expirations = 0

    def restart(self, delay):
        """List the records again after a timedelta, instead of waiting for changes."""
        if self._waiting is not None:
            self._restart_delay = delay
            self._waiting.cancel()

    async def run(self):
        """Follow the records until cancelled."""
        failures = 0
        while True:
            try:
                if self._expirations > 1:
                    await self._wait(sleep(self._clock, MAX_BACKOFF))
                position = await self._list()
                failures = 0
                await self._watch(position)
            except WatchExpired:
                self._expirations += 1
            except CancelledError:
                if self._restart_delay is None:
                    raise
                delay, self._restart_delay = self._restart_delay, None
                self._expirations = 0
                await sleep(self._clock, delay)
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
        return page.position

    async def _watch(self, position):
        while True:
            asked_at = self._clock.monotonic()
            page = await self._poll(position)
            self._expirations = 0
            self._reachability.record_answer()
            if page.changes:
                self._on_change(page)
            position = max(position, page.position)
            if page.changes and self._min_interval:
                # A restart doesn't end this pause: the next poll reads on anyway.
                await sleep(self._clock, self._min_interval)
            elif (pause := self._choose_pause(asked_at)) > NO_DELAY:
                await self._wait(sleep(self._clock, pause))

    def _choose_pause(self, asked_at):
        """Return the pause after a poll that was made at a monotonic time."""
        time_left = asked_at + MIN_POLL_INTERVAL - self._clock.monotonic()
        self._quick_polls = self._quick_polls + 1 if time_left > NO_DELAY else 0
        return time_left if self._quick_polls > MAX_QUICK_POLLS else NO_DELAY

    async def _poll(self, position):
        began_at = self._clock.monotonic()
        try:
            return await self._wait(ensureDeferred(self._source.poll(position)))
        except StoreUnavailable as error:
            duration = (self._clock.monotonic() - began_at).total_seconds()
            self._observer.observe(WatchFailed(self._name, duration, str(error)))
            raise

    async def _wait(self, waiting):
        """Wait for a Deferred, which ``restart`` cancels."""
        self._waiting = waiting
        try:
            return await waiting
        finally:
            self._waiting = None
