"""Messages that distribute the catalogue between processes."""

from dataclasses import dataclass

from ..objects import Kind
from ..ports import StoredObject


@dataclass(frozen=True, slots=True)
class PullCatalogue:
    """Request for the catalogue changes after a revision.

    Attributes
    ----------
    since : int
        Revision up to which the sender's catalogue is complete; zero requests
        all objects.
    after : str
        Cursor of the requested page, from ``CatalogueDelta.more``; empty for the
        first page.
    kinds : tuple of Kind
        Requested kinds; all if empty.
    """

    since: int
    after: str = ""
    kinds: tuple[Kind, ...] = ()


@dataclass(frozen=True, slots=True)
class CatalogueDelta:
    """Answer to PullCatalogue with one page of changes.

    Attributes
    ----------
    since : int
        Revision of the request; zero if the peer no longer keeps all deletions since
        that revision.
    objects : tuple of StoredObject
        Objects and tombstones changed after ``since``, and on a first page also
        recent changes with an earlier version.
    revision : int
        Revision up to which the receiver is complete once it has applied the last
        page; negative if the peer refuses the request.
    more : str
        Cursor of the next page; empty on the last one.
    """

    since: int
    objects: tuple[StoredObject, ...]
    revision: int
    more: str = ""
