"""The objects of the object API stand-in, with their history."""

from bisect import bisect_right
from collections import deque
from dataclasses import dataclass

LARGEST_VALUE_BYTES = 1_000_000
EVENTS_KEPT = 20_000
VERSIONS_KEPT = 8


@dataclass(frozen=True, slots=True)
class Entry:
    """One write of one object."""

    kind: str
    name: str
    version: int
    value: bytes
    deleted: bool = False


class ObjectState:
    """Objects, their latest versions and the events since some revision."""

    def __init__(self):
        self.revision = 0
        self._versions = {}
        self._events = deque(maxlen=EVENTS_KEPT)

    def find(self, kind, name, revision=None):
        """Return the Entry of an object at a revision, or None if there is none."""
        versions = self._versions.get(kind, {}).get(name)
        if versions is None:
            return None
        if revision is None:
            found = versions[-1]
        else:
            place = bisect_right(versions, revision, key=lambda entry: entry.version)
            if place == 0:
                return None
            found = versions[place - 1]
        return None if found.deleted else found

    def list_names(self, kind, after):
        """Return the names of a kind behind a name, in order."""
        return sorted(name for name in self._versions.get(kind, ()) if name > after)

    def put(self, kind, name, value, deleted=False):
        """Write an object; return its Entry."""
        self.revision += 1
        entry = Entry(kind, name, self.revision, value, deleted)
        versions = self._versions.setdefault(kind, {}).setdefault(name, [])
        versions.append(entry)
        del versions[:-VERSIONS_KEPT]
        self._events.append(entry)
        return entry

    def find_events(self, kinds, since):
        """Return the events of kinds after a revision; None if they are gone."""
        if self._events and self._events[0].version > since + 1:
            return None
        found = []
        for entry in reversed(self._events):
            if entry.version <= since:
                break
            if entry.kind in kinds:
                found.append(entry)
        return found[::-1]
