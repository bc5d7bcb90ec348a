"""Watching of the object API, restarted regularly to recover lost events."""

from balsamspoke_types.exceptions import WatchExpired


class CatalogueWatch:
    """A watch of the object API that is restarted after failures.

    It is also restarted periodically from an earlier revision, so that events that were
    lost are delivered again.

    Parameters
    ----------
    clock : Clock
        Schedules restarts and retries.
    random_source : random.Random
        Adds jitter to the retry delays.
    store : ObjectStore
        Object API to watch.
    view : CatalogueView
        A complete view, whose revision is the start of a watch.
    settings : CatalogueSettings
        Restart period and retry delays.
    apply : callable
        Called with each StoredObject and its version.
    on_gap : callable
        Called when the events after the start revision have expired, so that lost
        ones can be found only by a listing.
    on_expired : callable
        Called when the events after the view's own revision have expired too, so
        that a listing is required. The watch has stopped by then.
    """

    def __init__(
        self, clock, random_source, store, view, settings, apply, on_gap, on_expired
    ):
        self._clock = clock
        self._random = random_source
        self._store = store
        self._view = view
        self._settings = settings
        self._apply = apply
        self._on_gap = on_gap
        self._on_expired = on_expired
        self._watch = None
        self._timer = None
        self._start_revision = 0
        self._failures = 0
        self._has_expired = False
        self.is_running = False

    def start(self):
        """Start the watch at the view's revision; idempotent."""
        if not self.is_running:
            self.is_running = True
            self._failures = 0
            self._has_expired = False
            self._start_watch(self._view.revision)

    def stop(self):
        """Stop the watch."""
        self.is_running = False
        self._stop_watch()

    def _start_watch(self, revision):
        if not self.is_running:
            return
        self._stop_watch()
        self._start_revision = revision
        self._timer = self._clock.call_later(
            self._settings.watch_period, self._start_watch, self._view.revision
        )
        # Set before the call, which may report a failure before it returns.
        watch = _CancellableWatch(self)
        self._watch = watch
        watch.open(self._store, self._view.kinds, revision)

    def _stop_watch(self):
        if self._timer is not None:
            self._timer.cancel()
        if self._watch is not None:
            self._watch.stop()
        self._watch = self._timer = None

    def handle_events(self, page):
        """Apply a batch of events of the current watch."""
        self._failures = 0
        self._has_expired = False
        for stored in page.objects:
            self._apply(stored, stored.version)
        self._view.advance(page.revision)

    def handle_end(self, error):
        """Handle the end of the current watch: retry with backoff or report expiry."""
        self._stop_watch()
        if isinstance(error, WatchExpired):
            if self._has_expired:
                self.is_running = False
                self._on_expired()
                return
            self._has_expired = True
            self._on_gap()
        delay = self._settings.retry_delay * 2**self._failures
        self._failures = min(self._failures + 1, 8)
        delay = min(delay, self._settings.maximum_retry_delay)
        self._timer = self._clock.call_later(
            delay * self._random.uniform(0.5, 1.0), self._restart
        )

    def _restart(self):
        # A failed watch may have delivered no events, so its start revision is reused.
        self._start_watch(
            self._view.revision if self._has_expired else self._start_revision
        )


class _CancellableWatch:
    """A single watch of the object API that makes no callbacks once stopped."""

    def __init__(self, catalogue_watch):
        self._catalogue_watch = catalogue_watch
        self._watch = None
        self._is_stopped = False

    def open(self, store, kinds, revision):
        self._watch = store.watch(kinds, revision, self._apply, self._handle_end)
        if self._is_stopped:
            self._watch.stop()

    def stop(self):
        self._is_stopped = True
        if self._watch is not None:
            self._watch.stop()

    def _apply(self, page):
        if not self._is_stopped:
            self._catalogue_watch.handle_events(page)

    def _handle_end(self, error):
        if not self._is_stopped:
            self._catalogue_watch.handle_end(error)
