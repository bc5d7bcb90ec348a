"""View of the catalogue in force: the latest known version of each object."""

from dataclasses import dataclass

from balsamspoke_types.objects import CATALOGUE_KINDS, KeyRecord, Kind

from .changes import ChangeLog
from .codec import decode_object
from .exceptions import CatalogueError
from .packed import PackedObjects

MAXIMUM_TOMBSTONES = 20_000
DECODED_CACHE_SIZE = 1024


@dataclass(frozen=True, slots=True)
class FoundKey:
    """A KeyRecord found by the digest of a key.

    Attributes
    ----------
    record : KeyRecord
        The record in force.
    version : int
        Version of the record.
    """

    record: KeyRecord
    version: int


class CatalogueView:
    """The catalogue in force at one process.

    An object is replaced only by a later version of itself. A deletion is such a
    version, so stale and duplicate updates can't revert a change.

    Parameters
    ----------
    kinds : tuple of Kind
        Kinds to hold; objects of other kinds are ignored.
    maximum_tombstones : int
        Number of tombstones of each kind that remain after old ones are dropped.
        Tombstones of keys are never dropped.

    Attributes
    ----------
    revision : int
        Revision of the object API up to which the view has every change.
    is_complete : bool
        Whether the whole catalogue was received at least once.
    compacted_revision : int
        Revision up to which tombstones may have been dropped. A peer with an earlier
        revision can't be brought up to date by a delta.
    changes : ChangeLog
        Log of the latest changes.
    """

    def __init__(self, kinds=CATALOGUE_KINDS, maximum_tombstones=MAXIMUM_TOMBSTONES):
        self.kinds = kinds
        self.revision = 0
        self.is_complete = False
        self.compacted_revision = 0
        self.changes = ChangeLog()
        self._maximum_tombstones = maximum_tombstones
        self._objects = {kind: PackedObjects(kind) for kind in kinds}
        self._cache = {}
        self._adapters_by_team = {}
        self._key_names_by_digest = {}
        self._unchanged_since = {}

    def team(self, name):
        """Return the Team with a name, or None."""
        return self._find(Kind.TEAM, name)

    def model(self, name):
        """Return the Model with a name, or None."""
        return self._find(Kind.MODEL, name)

    def adapter(self, name):
        """Return the Adapter with a name, or None."""
        return self._find(Kind.ADAPTER, name)

    def service(self, name):
        """Return the PlainService with a name, or None."""
        return self._find(Kind.SERVICE, name)

    def find_key(self, digest):
        """Return the FoundKey for the digest of a key, or None."""
        name = self._key_names_by_digest.get(digest)
        record = None if name is None else self._find(Kind.KEY, name)
        if record is None or record.digest != digest:
            return None
        return FoundKey(record, self.get_current_version(Kind.KEY, name))

    def is_key_valid(self, record_name, version):
        """Return whether a key that was checked at a version may still be used.

        It may not be used if its record was deleted or changed after that version. A
        later write of the same content also counts as a change if this view never had
        the content at that version. A record without a known version counts as valid.
        """
        current = self.get_current_version(Kind.KEY, record_name)
        if current is None or current <= version:
            return True
        return self._unchanged_since.get(record_name, current) <= version

    def get_current_version(self, kind, name):
        """Return the version in force of an object or tombstone, or None."""
        return self._objects[kind].get_version(name) if kind in self.kinds else None

    def get_stored(self, kind, name):
        """Return the StoredObject or tombstone with a name, or None."""
        return self._objects[kind].get(name)

    def list_adapters(self, team):
        """Return the sorted names of a team's adapters."""
        return sorted(self._adapters_by_team.get(team, ()))

    def names(self, kind):
        """Return the sorted names of the objects of a kind."""
        return self._objects[kind].list_live_names() if kind in self.kinds else []

    def list_names_with_tombstones(self, kind):
        """Return the sorted names of the objects and tombstones of a kind."""
        return self._objects[kind].list_names()

    def put(self, stored, seen_revision=None):
        """Apply an object if it is later than the version in force.

        Parameters
        ----------
        stored : StoredObject
            An object or a tombstone.
        seen_revision : int or None
            Revision at which the source reports the object as current; by default
            the object's version.

        Returns
        -------
        bool
            Whether the object was applied.
        """
        kind, name = stored.kind, stored.name
        if kind not in self.kinds:
            return False
        current = self.get_current_version(kind, name)
        if current is None and not self._can_be_new(stored, seen_revision):
            return False
        if current is not None and stored.version <= current:
            return False
        self._index(stored)
        self._objects[kind].put(stored)
        self.changes.add(stored.version, kind, name)
        if stored.deleted and kind is not Kind.KEY:
            dropped_revision = self._objects[kind].drop_tombstones(
                self._maximum_tombstones
            )
            self.compacted_revision = max(self.compacted_revision, dropped_revision)
        return True

    def advance(self, revision):
        """Record that the view has every change up to a revision."""
        self.revision = max(self.revision, revision)
        self.is_complete = True

    def raise_compacted_revision(self, compacted_revision):
        """Record that tombstones up to a revision may be missing."""
        self.compacted_revision = max(self.compacted_revision, compacted_revision)

    def replace_with(self, other):
        """Take over the state of another view, except where this view is later.

        Parameters
        ----------
        other : CatalogueView
            A complete view of the same kinds; it must not be used afterwards.
        """
        for kind in self.kinds:
            for name in self.list_names_with_tombstones(kind):
                stored = self.get_stored(kind, name)
                if kind is Kind.KEY and stored.deleted:
                    other.put(stored, seen_revision=other.compacted_revision)
                elif stored.version > other.revision:
                    other.put(stored)
                elif other.get_current_version(kind, name) is not None:
                    other.put(stored)
        other.revision = max(other.revision, self.revision)
        vars(self).update(vars(other))

    def _can_be_new(self, stored, seen_revision):
        # Up to the compacted revision, a tombstone of the object may have been dropped.
        if stored.deleted or stored.version > self.compacted_revision:
            return True
        return (
            stored.version if seen_revision is None else seen_revision
        ) >= self.compacted_revision

    def _find(self, kind, name):
        if kind not in self.kinds:
            return None
        version = self._objects[kind].get_version(name)
        if version is None:
            return None
        cached = self._cache.get((kind, name))
        if cached is not None and cached[0] == version:
            return cached[1]
        decoded = _decode(self._objects[kind].get(name))
        if len(self._cache) >= DECODED_CACHE_SIZE:
            self._cache.pop(next(iter(self._cache)))
        self._cache[kind, name] = version, decoded
        return decoded

    def _index(self, stored):
        kind, name = stored.kind, stored.name
        if kind not in (Kind.ADAPTER, Kind.KEY):
            return
        old = self._find(kind, name)
        new = _decode(stored)
        if kind is Kind.KEY:
            self._index_key(name, stored, old, new)
        else:
            self._index_adapter(name, old, new)

    def _index_adapter(self, name, old, new):
        if old is not None:
            self._adapters_by_team[old.team].discard(name)
        if new is not None:
            self._adapters_by_team.setdefault(new.team, set()).add(name)

    def _index_key(self, name, stored, old, new):
        if old is not None and self._key_names_by_digest.get(old.digest) == name:
            del self._key_names_by_digest[old.digest]
        if new is None:
            self._unchanged_since.pop(name, None)
            return
        self._key_names_by_digest[new.digest] = name
        if old != new:
            self._unchanged_since[name] = stored.version


def _decode(stored):
    """Return the object, or None for a tombstone or an invalid value."""
    if stored is None or stored.deleted:
        return None
    try:
        return decode_object(stored.kind, stored.name, stored.value)
    except CatalogueError:
        return None
