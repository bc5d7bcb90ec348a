"""Cut what a peer lacks into pages bounded in bytes."""

from bisect import bisect_right
from dataclasses import dataclass

from balsamspoke_types.messages import CatalogueDelta
from balsamspoke_types.objects import Kind

PAGE_BYTES = 64 * 1024
OBJECT_OVERHEAD_BYTES = 32

_BY_VERSION = "v"
_BY_NAME = "n"


@dataclass(frozen=True, slots=True)
class Place:
    """Where the next page of a delta starts, and what the first one promised.

    Attributes
    ----------
    revision : int
        Revision of the sender at the first page; later changes that fall into
        pages sent before are not in the delta.
    floor : int
        Floor of the sender at the first page.
    order : str
        How the delta is ordered.
    version : int
        Version of the last object sent.
    kind, name : str
        Last object sent.
    """

    revision: int
    floor: int
    order: str = _BY_NAME
    version: int = -1
    kind: str = ""
    name: str = ""

    def __str__(self):
        head = f"{self.revision}|{self.floor}|{self.order}|{self.version}"
        return f"{head}|{self.kind}|{self.name}"

    @classmethod
    def parse(cls, text):
        """Read back what ``str`` gave; raises ValueError otherwise."""
        revision, floor, order, version, kind, name = text.split("|", 5)
        if order not in (_BY_VERSION, _BY_NAME):
            raise ValueError(f"not a place in a delta: {text!r}")
        return cls(int(revision), int(floor), order, int(version), kind, name)


def make_page(view, pull, page_bytes=PAGE_BYTES, extra=()):
    """Answer a PullCatalogue.

    Parameters
    ----------
    view : CatalogueView
        A complete view.
    pull : PullCatalogue
        What is asked. A delta since a revision below the view's floor can't be
        given; the answer is then empty and since revision zero.
    page_bytes : int
        Size at which a page ends; one object may exceed it.
    extra : iterable of StoredObject
        Older objects that ride on the first page.

    Returns
    -------
    CatalogueDelta

    Raises
    ------
    ValueError
        If ``pull.after`` isn't a place.
    """
    if 0 < pull.since < view.floor:
        return CatalogueDelta(0, (), -1)
    kinds = pull.kinds or view.kinds
    page = _Page(page_bytes)
    if not pull.after:
        for stored in extra:
            if stored.kind in kinds and stored.version <= pull.since:
                page.add(stored)
    place = _find_place(view, pull)
    last = None
    for entry in _list_behind(view, pull.since, kinds, place):
        last = entry
        page.add(view.get_stored(Kind(entry[1]), entry[2]))
        if page.is_full:
            return page.end(pull.since, _move(view, place, entry))
    if pull.since == 0 and last is not None:
        # One more page, so that the asker learns the floor from its place.
        return page.end(0, _move(view, place, last))
    return page.end(pull.since, place, is_last=True)


class _Page:
    def __init__(self, limit):
        self._left = limit
        self._objects = []

    @property
    def is_full(self):
        return self._left <= 0

    def add(self, stored):
        self._objects.append(stored)
        self._left -= len(stored.value) + len(stored.name) + OBJECT_OVERHEAD_BYTES

    def end(self, since, place, is_last=False):
        more = "" if is_last else str(place)
        return CatalogueDelta(since, tuple(self._objects), place.revision, more)


def _find_place(view, pull):
    by_version = pull.since > 0 and pull.since >= view.changes.floor
    if pull.after:
        place = Place.parse(pull.after)
        if place.order == _BY_NAME or by_version:
            return place
        # The log no longer reaches back to the place; start again by name.
        return Place(place.revision, place.floor)
    order = _BY_VERSION if by_version else _BY_NAME
    return Place(view.revision, view.floor, order, pull.since)


def _move(view, place, entry):
    return Place(place.revision, view.floor, place.order, *entry)


def _list_behind(view, since, kinds, place):
    if place.order == _BY_VERSION:
        start = (place.version, place.kind, place.name)
        # All entries of the version itself are behind an empty kind and name.
        for entry in view.changes.list_after(start):
            kind = Kind(entry[1])
            is_current = view.version_of(kind, entry[2]) == entry[0]
            if entry[0] > since and kind in kinds and is_current:
                yield entry
        return
    for kind in sorted(kinds, key=lambda kind: kind.value):
        if kind.value < place.kind or kind not in view.kinds:
            continue
        behind = place.name if kind.value == place.kind else None
        yield from _list_names_behind(view, kind, behind, since)


def _list_names_behind(view, kind, behind, since):
    names = view.names_with_tombstones(kind)
    start = 0 if behind is None else bisect_right(names, behind)
    for index in range(start, len(names)):
        version = view.version_of(kind, names[index])
        if version > since:
            yield version, kind.value, names[index]
