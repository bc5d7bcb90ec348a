"""Listing of the catalogue from the object API, which also detects deletions."""

from bisect import bisect_right
from datetime import timedelta

from balsamspoke_types.ports import StoredObject


class Listing:
    """A single listing of all kinds, page by page.

    Parameters
    ----------
    clock : Clock
        Schedules the pages.
    store : ObjectStore
        Object API to list.
    view : CatalogueView
        Catalogue that each page is compared with.
    apply : callable
        Called with a StoredObject and the revision of the page that shows it.
    on_end : callable
        Called with True once every page was handled, with False after a failure.
    page_delay : timedelta or None
        Delay between two pages; None for an urgent listing without delays.

    Notes
    -----
    A page holds the objects of a range of names at the page's revision, which may be
    stale. An object of the range that is missing from the page, and whose version is
    earlier than the page's revision, was deleted by then. Its tombstone gets the page's
    revision, since any earlier version is outdated at that revision.
    """

    def __init__(self, clock, store, view, apply, on_end, page_delay=None):
        self._clock = clock
        self._store = store
        self._view = view
        self._apply = apply
        self._on_end = on_end
        self._page_delay = page_delay or timedelta(0)
        self.is_urgent = page_delay is None
        self._remaining_kinds = list(view.kinds)
        self._was_complete = view.is_complete
        self._revisions = []
        self._last_name = None
        self._timer = None
        self.is_running = False

    def start(self):
        """Request the first page."""
        self.is_running = True
        self._request_page("")

    def stop(self):
        """Abort the listing; ``on_end`` is not called."""
        self.is_running = False
        if self._timer is not None:
            self._timer.cancel()

    def _request_page(self, page):
        if self.is_running:
            pending_page = self._store.list_page(self._remaining_kinds[0], page)
            pending_page.addCallbacks(self._handle_page, self._handle_failure)

    def _handle_failure(self, _failure):
        if self.is_running:
            self.is_running = False
            self._on_end(False)

    def _handle_page(self, page):
        if not self.is_running:
            return
        self._revisions.append(page.revision)
        for stored in page.objects:
            self._apply(stored, page.revision)
        self._add_missing_tombstones(page)
        if not page.next_page:
            self._remaining_kinds.pop(0)
            self._last_name = None
        if self._remaining_kinds:
            self._timer = self._clock.call_later(
                self._page_delay, self._request_page, page.next_page
            )
        else:
            self._finish()

    def _finish(self):
        self.is_running = False
        if not self._was_complete:
            self._view.raise_compacted_revision(max(self._revisions))
        self._view.advance(min(self._revisions))
        self._on_end(True)

    def _add_missing_tombstones(self, page):
        listed_names = [stored.name for stored in page.objects]
        lower_bound = "" if self._last_name is None else self._last_name
        if listed_names != sorted(listed_names) or (
            listed_names and listed_names[0] < lower_bound
        ):
            # The page is out of name order, so the range that it covers is unknown.
            self._last_name = listed_names[-1]
            return
        kind, names = (
            self._remaining_kinds[0],
            self._view.list_names_with_tombstones(self._remaining_kinds[0]),
        )
        start = 0 if self._last_name is None else bisect_right(names, self._last_name)
        end = bisect_right(names, listed_names[-1]) if listed_names else start
        if not page.next_page:
            end = len(names)
        absent = set(names[start:end]).difference(listed_names)
        for name in sorted(absent):
            current = self._view.get_stored(kind, name)
            if not current.deleted and current.version < page.revision:
                tombstone = StoredObject(kind, name, page.revision, b"", True)
                self._apply(tombstone, page.revision)
        if listed_names:
            self._last_name = listed_names[-1]
