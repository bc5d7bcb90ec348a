"""Following a kind of record in the platform's store through its outages."""

from dataclasses import dataclass
from datetime import timedelta

from balsamspoke_types.exceptions import StoreUnavailable, WatchExpired
from balsamspoke_types.timing import sleep

# Pause after a failed call, doubled up to the longest: calls are paid for, also
# refused ones, and the store's rate is shared.
MIN_BACKOFF = timedelta(milliseconds=150)
MAX_BACKOFF = timedelta(milliseconds=600)


@dataclass(frozen=True, slots=True)
class RecordChange:
    """A changed record, or the name of a removed one (record is None)."""

    name: str
    record: object


@dataclass(frozen=True, slots=True)
class RecordPage:
    """Records as of a revision of the store.

    Attributes
    ----------
    changes : tuple of RecordChange
        Of a list, all records; of a watch, what has changed.
    revision : int
        Where a watch goes on.
    """

    changes: tuple[RecordChange, ...]
    revision: int


class Follower:
    """Follow all records of one kind: list once, then watch.

    Parameters
    ----------
    source : RecordSource
        Lists and watches the kind.
    clock : Clock
        For pauses.
    reachability : Reachability
        The store's; told of each answer and failure.
    on_list, on_change : callable
        Called with a RecordPage of all records, or of changes.
    min_interval : timedelta
        Least time between two polls; changes that come meanwhile come together.
    """

    def __init__(self, source, clock, reachability, on_list, on_change, min_interval):
        self._source = source
        self._clock = clock
        self._reachability = reachability
        self._on_list = on_list
        self._on_change = on_change
        self._min_interval = min_interval

    async def run(self):
        """Follow until cancelled."""
        failures = 0
        while True:
            try:
                revision = await self._list()
                failures = 0
                await self._watch(revision)
            except WatchExpired:
                continue
            except StoreUnavailable as error:
                self._reachability.record_failure(error)
                delay = min(MAX_BACKOFF, MIN_BACKOFF * 2 ** min(failures, 4))
                failures += 1
                await sleep(self._clock, delay)

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
