"""List the catalogue from the object API, and find what was deleted."""

from bisect import bisect_right
from datetime import timedelta

from balsamspoke_types.ports import StoredObject


class Listing:
    """One listing of all kinds, page by page.

    Parameters
    ----------
    clock : Clock
        Time.
    store : ObjectStore
        What is listed.
    view : CatalogueView
        What is compared with each page.
    take : callable
        Called with a StoredObject and the revision that shows it.
    on_end : callable
        Called with whether every page came.
    pause : timedelta or None
        Between two pages; None for a listing that is waited for.

    Notes
    -----
    A page shows the objects whose names lie in a range, as of the page's
    revision, which may be old. An object of the range that isn't on it, and whose
    version isn't later, was deleted by then; the tombstone gets the page's
    revision, since whatever came earlier is outdated there.
    """

    def __init__(self, clock, store, view, take, on_end, pause=None):
        self._clock = clock
        self._store = store
        self._view = view
        self._take = take
        self._on_end = on_end
        self._pause = pause or timedelta(0)
        self.is_urgent = pause is None
        self._kinds = list(view.kinds)
        self._was_complete = view.is_complete
        self._revisions = []
        self._behind = None
        self._timer = None
        self.running = False

    def start(self):
        """Ask for the first page."""
        self.running = True
        self._ask("")

    def stop(self):
        """Take no more pages; ``on_end`` isn't called."""
        self.running = False
        if self._timer is not None:
            self._timer.cancel()

    def _ask(self, page):
        if self.running:
            asked = self._store.list_page(self._kinds[0], page)
            asked.addCallbacks(self._take_page, self._fail)

    def _fail(self, _failure):
        if self.running:
            self.running = False
            self._on_end(False)

    def _take_page(self, page):
        if not self.running:
            return
        self._revisions.append(page.revision)
        for stored in page.objects:
            self._take(stored, page.revision)
        self._bury_absent(page)
        if not page.next_page:
            self._kinds.pop(0)
            self._behind = None
        if self._kinds:
            self._timer = self._clock.call_later(self._pause, self._ask, page.next_page)
        else:
            self._end()

    def _end(self):
        self.running = False
        if not self._was_complete:
            self._view.raise_floor(max(self._revisions))
        self._view.advance(min(self._revisions))
        self._on_end(True)

    def _bury_absent(self, page):
        shown = [stored.name for stored in page.objects]
        first = "" if self._behind is None else self._behind
        if shown != sorted(shown) or (shown and shown[0] < first):
            # Not in the order of names, so the page covers no known range.
            self._behind = shown[-1]
            return
        kind, names = self._kinds[0], self._view.names_with_tombstones(self._kinds[0])
        start = 0 if self._behind is None else bisect_right(names, self._behind)
        end = bisect_right(names, shown[-1]) if shown else start
        if not page.next_page:
            end = len(names)
        absent = set(names[start:end]).difference(shown)
        for name in sorted(absent):
            current = self._view.get_stored(kind, name)
            if not current.deleted and current.version < page.revision:
                tombstone = StoredObject(kind, name, page.revision, b"", True)
                self._take(tombstone, page.revision)
        if shown:
            self._behind = shown[-1]
