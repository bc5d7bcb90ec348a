"""Messages that spread the catalogue between processes."""

from dataclasses import dataclass

from ..objects import Kind
from ..ports import StoredObject


@dataclass(frozen=True, slots=True)
class PullCatalogue:
    """Ask a peer for what changed.

    Attributes
    ----------
    since : int
        The asker has everything up to this revision.
    after : str
        Continue behind this place, from ``CatalogueDelta.more``.
    kinds : tuple of Kind
        Kinds wanted; all if empty.
    """

    since: int
    after: str = ""
    kinds: tuple[Kind, ...] = ()


@dataclass(frozen=True, slots=True)
class CatalogueDelta:
    """Answer to PullCatalogue.

    Attributes
    ----------
    since : int
        As asked.
    objects : tuple of StoredObject
        Objects and tombstones with later versions.
    revision : int
        Once the last page is taken, the asker has everything up to here.
    more : str
        Place of the next page; empty on the last.
    """

    since: int
    objects: tuple[StoredObject, ...]
    revision: int
    more: str = ""
