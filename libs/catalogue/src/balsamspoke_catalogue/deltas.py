"""Pages of the changes that a peer lacks, bounded in bytes."""

from bisect import bisect_right
from dataclasses import dataclass

from balsamspoke_types.messages import CatalogueDelta
from balsamspoke_types.objects import Kind

PAGE_BYTES = 64 * 1024
OBJECT_OVERHEAD_BYTES = 32

_BY_VERSION = "v"
_BY_NAME = "n"


@dataclass(frozen=True, slots=True)
class PageCursor:
    """Position in a delta from which the next page continues.

    Attributes
    ----------
    revision : int
        Revision of the sender when it built the first page. Later changes to objects
        of pages already sent are not in the delta.
    compacted_revision : int
        Compacted revision of the sender's view when it built the page that carries
        this cursor.
    order : str
        Order of the delta: by version, or by kind and name.
    version : int
        Version of the last object sent.
    kind : str
        Value of the Kind of the last object sent.
    name : str
        Name of the last object sent.
    """

    revision: int
    compacted_revision: int
    order: str = _BY_NAME
    version: int = -1
    kind: str = ""
    name: str = ""

    def __str__(self):
        head = f"{self.revision}|{self.compacted_revision}|{self.order}|{self.version}"
        return f"{head}|{self.kind}|{self.name}"

    @classmethod
    def parse(cls, text):
        """Return the cursor for the output of its ``str``.

        Raises
        ------
        ValueError
            If the text is not a cursor.
        """
        revision, compacted_revision, order, version, kind, name = text.split("|", 5)
        if order not in (_BY_VERSION, _BY_NAME):
            raise ValueError(f"not a page cursor: {text!r}")
        return cls(
            int(revision), int(compacted_revision), order, int(version), kind, name
        )


def make_page(view, pull, page_bytes=PAGE_BYTES, recent_changes=()):
    """Return one page of the delta that a PullCatalogue requests.

    Parameters
    ----------
    view : CatalogueView
        A complete view.
    pull : PullCatalogue
        The request. If its ``since`` is above 0 and below the compacted revision of
        the view, no delta is possible, and the result is a refusal: an empty delta
        with ``since`` 0 and revision -1.
    page_bytes : int
        Size at which a page ends; the last object may exceed it.
    recent_changes : iterable of StoredObject
        Objects that the first page carries even if they are not later than ``since``.

    Returns
    -------
    CatalogueDelta

    Raises
    ------
    ValueError
        If ``pull.after`` is neither empty nor a cursor.
    """
    if 0 < pull.since < view.compacted_revision:
        return CatalogueDelta(0, (), -1)
    kinds = pull.kinds or view.kinds
    page = _Page(page_bytes)
    if not pull.after:
        for stored in recent_changes:
            if stored.kind in kinds and stored.version <= pull.since:
                page.add(stored)
    cursor = _get_cursor(view, pull)
    last = None
    for entry in _iterate_entries(view, pull.since, kinds, cursor):
        last = entry
        page.add(view.get_stored(Kind(entry[1]), entry[2]))
        if page.is_full:
            return page.make_delta(pull.since, _advance_cursor(view, cursor, entry))
    if pull.since == 0 and last is not None:
        # The receiver of a whole catalogue needs the compacted revision, which only a
        # cursor carries, so one more page follows.
        return page.make_delta(0, _advance_cursor(view, cursor, last))
    return page.make_delta(pull.since, cursor, is_last=True)


class _Page:
    def __init__(self, page_bytes):
        self._bytes_left = page_bytes
        self._objects = []

    @property
    def is_full(self):
        return self._bytes_left <= 0

    def add(self, stored):
        self._objects.append(stored)
        self._bytes_left -= len(stored.value) + len(stored.name) + OBJECT_OVERHEAD_BYTES

    def make_delta(self, since, cursor, is_last=False):
        more = "" if is_last else str(cursor)
        return CatalogueDelta(since, tuple(self._objects), cursor.revision, more)


def _get_cursor(view, pull):
    is_by_version = pull.since > 0 and pull.since >= view.changes.truncated_revision
    if pull.after:
        cursor = PageCursor.parse(pull.after)
        if cursor.order == _BY_NAME or is_by_version:
            return cursor
        # The change log was truncated past the cursor; restart in order of name.
        return PageCursor(cursor.revision, cursor.compacted_revision)
    order = _BY_VERSION if is_by_version else _BY_NAME
    return PageCursor(view.revision, view.compacted_revision, order, pull.since)


def _advance_cursor(view, cursor, entry):
    return PageCursor(cursor.revision, view.compacted_revision, cursor.order, *entry)


def _iterate_entries(view, since, kinds, cursor):
    if cursor.order == _BY_VERSION:
        start = (cursor.version, cursor.kind, cursor.name)
        # The kind and name of a first cursor are empty, so entries of its own version
        # sort after it. The peer has them already; the check of since skips them.
        for entry in view.changes.iterate_after(start):
            kind = Kind(entry[1])
            is_current = view.get_current_version(kind, entry[2]) == entry[0]
            if entry[0] > since and kind in kinds and is_current:
                yield entry
        return
    for kind in sorted(kinds, key=lambda kind: kind.value):
        if kind.value < cursor.kind or kind not in view.kinds:
            continue
        last_name = cursor.name if kind.value == cursor.kind else None
        yield from _iterate_names(view, kind, last_name, since)


def _iterate_names(view, kind, last_name, since):
    names = view.list_names_with_tombstones(kind)
    start = 0 if last_name is None else bisect_right(names, last_name)
    for index in range(start, len(names)):
        version = view.get_current_version(kind, names[index])
        if version > since:
            yield version, kind.value, names[index]
