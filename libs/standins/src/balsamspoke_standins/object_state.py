"""Objects of the object API stand-in, with their recent versions and events."""

from bisect import bisect_right
from collections import deque
from dataclasses import dataclass

MAX_VALUE_BYTES = 1_000_000
MAX_EVENTS = 20_000
MAX_VERSIONS = 8


@dataclass(frozen=True, slots=True)
class ObjectWrite:
    """One version of an object.

    Attributes
    ----------
    kind : str
        Kind of the object.
    name : str
        Name of the object.
    version : int
        Store revision of the write.
    value : bytes
        Value written; empty for a deletion.
    deleted : bool
        Whether the write deleted the object.
    """

    kind: str
    name: str
    version: int
    value: bytes
    deleted: bool = False


class ObjectState:
    """Objects with their latest ``MAX_VERSIONS`` versions, and the latest events.

    Attributes
    ----------
    revision : int
        Revision of the latest write; 0 before the first.
    """

    def __init__(self):
        self.revision = 0
        self._versions = {}
        self._events = deque(maxlen=MAX_EVENTS)

    def find(self, kind, name, revision=None):
        """Return the ObjectWrite that is current at a revision, or None.

        The latest revision is used if ``revision`` is None. The result is None if the
        object didn't exist at the revision, or that version isn't kept any more.
        """
        versions = self._versions.get(kind, {}).get(name)
        if versions is None:
            return None
        if revision is None:
            selected = versions[-1]
        else:
            position = bisect_right(
                versions, revision, key=lambda record: record.version
            )
            if position == 0:
                return None
            selected = versions[position - 1]
        return None if selected.deleted else selected

    def list_names(self, kind, after):
        """Return the sorted names of a kind that are greater than ``after``."""
        return sorted(name for name in self._versions.get(kind, ()) if name > after)

    def put(self, kind, name, value, deleted=False):
        """Write or delete an object; return the ObjectWrite."""
        self.revision += 1
        record = ObjectWrite(kind, name, self.revision, value, deleted)
        versions = self._versions.setdefault(kind, {}).setdefault(name, [])
        versions.append(record)
        del versions[:-MAX_VERSIONS]
        self._events.append(record)
        return record

    def find_events(self, kinds, since):
        """Return the writes of some kinds after a revision, oldest first.

        The result is None if some writes after the revision aren't kept any more.
        """
        if self._events and self._events[0].version > since + 1:
            return None
        selected = []
        for record in reversed(self._events):
            if record.version <= since:
                break
            if record.kind in kinds:
                selected.append(record)
        return selected[::-1]
