"""Watch the object API, and begin again so that lost events come once more."""

from balsamspoke_types.exceptions import WatchExpired


class CatalogueWatch:
    """A watch that lasts through failures.

    Parameters
    ----------
    clock : Clock
        Time.
    random_source : random.Random
        Spreads the tries.
    store : ObjectStore
        What is watched.
    view : CatalogueView
        Complete; gives the revision to watch from.
    settings : CatalogueSettings
        Intervals.
    take : callable
        Called with each StoredObject.
    on_gap : callable
        Called when events since an earlier revision can't be had again, so that
        one which was lost can be found only by a listing.
    on_lost : callable
        Called when the object API no longer has the events since the view's
        revision, so that it must be listed.
    """

    def __init__(
        self, clock, random_source, store, view, settings, take, on_gap, on_lost
    ):
        self._clock = clock
        self._random = random_source
        self._store = store
        self._view = view
        self._settings = settings
        self._take = take
        self._on_gap = on_gap
        self._on_lost = on_lost
        self._watch = None
        self._timer = None
        self._begun_from = 0
        self._failures = 0
        self._expired = False
        self.running = False

    def start(self):
        """Begin to watch; idempotent."""
        if not self.running:
            self.running = True
            self._failures = 0
            self._expired = False
            self._begin(self._view.revision)

    def stop(self):
        """End the watch."""
        self.running = False
        self._drop()

    def _begin(self, revision):
        if not self.running:
            return
        self._drop()
        self._begun_from = revision
        self._timer = self._clock.call_later(
            self._settings.watch_period, self._begin, self._view.revision
        )
        # A failure may be reported before the call returns.
        watch = _Watching(self)
        self._watch = watch
        watch.begin(self._store, self._view.kinds, revision)

    def _drop(self):
        if self._timer is not None:
            self._timer.cancel()
        if self._watch is not None:
            self._watch.stop()
        self._watch = self._timer = None

    def take_events(self, page):
        """Take a batch of events of the running watch."""
        self._failures = 0
        self._expired = False
        for stored in page.objects:
            self._take(stored, stored.version)
        self._view.advance(page.revision)

    def end(self, error):
        """Try again later, or ask for a listing."""
        self._drop()
        if isinstance(error, WatchExpired):
            if self._expired:
                self.running = False
                self._on_lost()
                return
            self._expired = True
            self._on_gap()
        delay = self._settings.retry_delay * 2**self._failures
        self._failures = min(self._failures + 1, 8)
        delay = min(delay, self._settings.maximum_retry_delay)
        self._timer = self._clock.call_later(
            delay * self._random.uniform(0.5, 1.0), self._begin_again
        )

    def _begin_again(self):
        # A watch that failed may have told nothing, so it begins where it began.
        self._begin(self._view.revision if self._expired else self._begun_from)


class _Watching:
    """One watch of the object API; silent once it was stopped."""

    def __init__(self, owner):
        self._owner = owner
        self._watch = None
        self._stopped = False

    def begin(self, store, kinds, revision):
        self._watch = store.watch(kinds, revision, self._take, self._end)
        if self._stopped:
            self._watch.stop()

    def stop(self):
        self._stopped = True
        if self._watch is not None:
            self._watch.stop()

    def _take(self, page):
        if not self._stopped:
            self._owner.take_events(page)

    def _end(self, error):
        if not self._stopped:
            self._owner.end(error)
