"""Whether a process still knows which failure domains are drained."""

from datetime import timedelta

from balsamspoke_types.exceptions import StoreUnavailable, WatchExpired

from ..ports import RecordSource

# Time beyond the bound in which an overdue watch and the list after it have failed.
CALL_TIME = timedelta(seconds=1)


class FreshnessTracker:
    """Tell whether the store may have told something that this process hasn't read.

    This handles a process that was suspended: it finds requests and answers of the
    store that have waited for it, and neither tells how long ago they came. While the
    store is known not to answer, the last known state counts as current: a request
    can't wait for the end of an outage.

    Parameters
    ----------
    bound : timedelta
        Longest time in which a change has to be known; no watch takes as long.

    Attributes
    ----------
    asked_at : timedelta or None
        Monotonic time of the last call that was answered in time; None if none was.
    """

    def __init__(self, bound):
        self._bound = bound
        self._read_at = None
        self._is_cut_off = False
        self.asked_at = None

    def record_answer(self, asked_at, now):
        """Record an answer to a call that was made at a monotonic time.

        Returns
        -------
        bool
            Whether it shows the store as it is now. A call takes no longer than the
            bound, so an answer that is processed later has waited for the process.
        """
        if now - asked_at > self._bound:
            return False
        self._is_cut_off = False
        self.asked_at = asked_at
        self._read_at = now
        return True

    def record_failure(self):
        """Record that the store was asked anew, and has not answered."""
        self._is_cut_off = True

    def is_outdated(self, now):
        """Return whether the store has to be asked before the state is relied on."""
        if self._read_at is None or self._is_cut_off:
            return False
        return now - self._read_at > self._bound + CALL_TIME


class TrackedSource(RecordSource):
    """Source whose calls are recorded in a FreshnessTracker.

    An answer that has waited while the process was suspended is dropped, and the
    records are listed anew at once.

    Parameters
    ----------
    source : RecordSource
        Makes the calls.
    clock : Clock
        Source of the times of calls.
    freshness : FreshnessTracker
        Records them.
    on_unchanged : callable
        Called without arguments when a watch has shown that nothing has changed.
    """

    def __init__(self, source, clock, freshness, on_unchanged):
        self._source = source
        self._clock = clock
        self._freshness = freshness
        self._on_unchanged = on_unchanged

    async def list_all(self):
        """Return a RecordPage of all records; see ``RecordSource``."""
        while True:
            asked_at = self._clock.monotonic()
            try:
                page = await self._source.list_all()
            except StoreUnavailable:
                self._freshness.record_failure()
                raise
            if self._freshness.record_answer(asked_at, self._clock.monotonic()):
                return page

    async def poll(self, position):
        """Return a RecordPage of changes; see ``RecordSource``.

        A failure doesn't show that the store is out of reach: the watch of a process
        that was suspended is overdue.
        """
        asked_at = self._clock.monotonic()
        page = await self._source.poll(position)
        if not self._freshness.record_answer(asked_at, self._clock.monotonic()):
            raise WatchExpired("the answer came while the process was suspended")
        if not page.changes:
            self._on_unchanged()
        return page
