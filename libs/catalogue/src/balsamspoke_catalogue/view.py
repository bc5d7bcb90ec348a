"""What is in force: the highest version seen of each object."""

from dataclasses import dataclass

from balsamspoke_types.objects import CATALOGUE_KINDS, KeyRecord, Kind

from .changes import ChangeLog
from .codec import decode_object
from .exceptions import CatalogueError
from .packed import PackedObjects

TOMBSTONES_KEPT = 20_000
CACHE_SIZE = 1024


@dataclass(frozen=True, slots=True)
class FoundKey:
    """A key's record and the version at which it was found."""

    record: KeyRecord
    version: int


class CatalogueView:
    """The catalogue in force at one process.

    An object is replaced only by a later version of itself, and a deletion is
    such a version, so nothing old or repeated takes a change back.

    Parameters
    ----------
    kinds : tuple of Kind
        Kinds that are kept; objects of others are not taken.
    tombstones_kept : int
        Tombstones kept of each kind. Those of keys are all kept.

    Attributes
    ----------
    revision : int
        Every change up to this revision of the object API is in.
    is_complete : bool
        Whether the whole catalogue was taken once.
    floor : int
        Deletions up to this revision may be unknown here, so a peer that has
        only an earlier revision can't be told all by a delta.
    changes : ChangeLog
        The latest changes.
    """

    def __init__(self, kinds=CATALOGUE_KINDS, tombstones_kept=TOMBSTONES_KEPT):
        self.kinds = kinds
        self.revision = 0
        self.is_complete = False
        self.floor = 0
        self.changes = ChangeLog()
        self._tombstones_kept = tombstones_kept
        self._objects = {kind: PackedObjects(kind) for kind in kinds}
        self._cache = {}
        self._adapters_of = {}
        self._key_of = {}
        self._same_since = {}

    def team(self, name):
        """Return the Team of a name, or None."""
        return self._find(Kind.TEAM, name)

    def model(self, name):
        """Return the Model of a name, or None."""
        return self._find(Kind.MODEL, name)

    def adapter(self, name):
        """Return the Adapter of a name, or None."""
        return self._find(Kind.ADAPTER, name)

    def service(self, name):
        """Return the PlainService of a name, or None."""
        return self._find(Kind.SERVICE, name)

    def find_key(self, digest):
        """Return the FoundKey of a key's digest, or None."""
        name = self._key_of.get(digest)
        record = None if name is None else self._find(Kind.KEY, name)
        if record is None or record.digest != digest:
            return None
        return FoundKey(record, self.version_of(Kind.KEY, name))

    def is_key_valid(self, record_name, version):
        """Whether a key that was found at a version may still be used.

        False if the record is known to be withdrawn or changed since, or if it
        was written since and the contents at the version aren't known here. A
        record that isn't known here passes.
        """
        current = self.version_of(Kind.KEY, record_name)
        if current is None or current <= version:
            return True
        return self._same_since.get(record_name, current) <= version

    def version_of(self, kind, name):
        """Return the version of an object or its tombstone, or None."""
        return self._objects[kind].get_version(name) if kind in self.kinds else None

    def get_stored(self, kind, name):
        """Return the StoredObject or its tombstone, or None."""
        return self._objects[kind].get(name)

    def adapters_of(self, team):
        """Return the sorted names of a team's adapters."""
        return sorted(self._adapters_of.get(team, ()))

    def names(self, kind):
        """Return the sorted names of the objects of a kind."""
        return self._objects[kind].list_live() if kind in self.kinds else []

    def names_with_tombstones(self, kind):
        """Return the sorted names of the objects and tombstones of a kind."""
        return self._objects[kind].list_names()

    def put(self, stored, seen_at=None):
        """Take an object if it is later than what is in force.

        Parameters
        ----------
        stored : StoredObject
            An object or a tombstone.
        seen_at : int or None
            Revision at which the source shows the object to be current; by
            default its own version.

        Returns
        -------
        bool
            Whether it was taken.
        """
        kind, name = stored.kind, stored.name
        if kind not in self.kinds:
            return False
        current = self.version_of(kind, name)
        if current is None and not self._may_be_new(stored, seen_at):
            return False
        if current is not None and stored.version <= current:
            return False
        self._index(stored)
        self._objects[kind].put(stored)
        self.changes.add(stored.version, kind, name)
        if stored.deleted and kind is not Kind.KEY:
            dropped = self._objects[kind].drop_tombstones(self._tombstones_kept)
            self.floor = max(self.floor, dropped)
        return True

    def advance(self, revision):
        """Note that every change up to a revision is in."""
        self.revision = max(self.revision, revision)
        self.is_complete = True

    def raise_floor(self, floor):
        """Note that deletions up to a revision may be unknown."""
        self.floor = max(self.floor, floor)

    def replace_with(self, other):
        """Become another view, and keep what is in force here and later.

        Parameters
        ----------
        other : CatalogueView
            A complete view of the same kinds; not to be used any more.
        """
        for kind in self.kinds:
            for name in self.names_with_tombstones(kind):
                stored = self.get_stored(kind, name)
                if kind is Kind.KEY and stored.deleted:
                    other.put(stored, seen_at=other.floor)
                elif stored.version > other.revision:
                    other.put(stored)
                elif other.version_of(kind, name) is not None:
                    other.put(stored)
        other.revision = max(other.revision, self.revision)
        vars(self).update(vars(other))

    def _may_be_new(self, stored, seen_at):
        # A tombstone of it may have been dropped if it isn't later than the floor.
        if stored.deleted or stored.version > self.floor:
            return True
        return (stored.version if seen_at is None else seen_at) >= self.floor

    def _find(self, kind, name):
        if kind not in self.kinds:
            return None
        version = self._objects[kind].get_version(name)
        if version is None:
            return None
        cached = self._cache.get((kind, name))
        if cached is not None and cached[0] == version:
            return cached[1]
        found = _decode(self._objects[kind].get(name))
        if len(self._cache) >= CACHE_SIZE:
            self._cache.pop(next(iter(self._cache)))
        self._cache[kind, name] = version, found
        return found

    def _index(self, stored):
        kind, name = stored.kind, stored.name
        if kind not in (Kind.ADAPTER, Kind.KEY):
            return
        before = self._find(kind, name)
        after = _decode(stored)
        if kind is Kind.KEY:
            self._index_key(name, stored, before, after)
        else:
            self._index_adapter(name, before, after)

    def _index_adapter(self, name, before, after):
        if before is not None:
            self._adapters_of[before.team].discard(name)
        if after is not None:
            self._adapters_of.setdefault(after.team, set()).add(name)

    def _index_key(self, name, stored, before, after):
        if before is not None and self._key_of.get(before.digest) == name:
            del self._key_of[before.digest]
        if after is None:
            self._same_since.pop(name, None)
            return
        self._key_of[after.digest] = name
        if before != after:
            self._same_since[name] = stored.version


def _decode(stored):
    """Return the object, or None for a tombstone or a value that can't be read."""
    if stored is None or stored.deleted:
        return None
    try:
        return decode_object(stored.kind, stored.name, stored.value)
    except CatalogueError:
        return None
