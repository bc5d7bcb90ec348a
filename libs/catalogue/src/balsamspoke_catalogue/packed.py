"""Keep the objects of one kind in little memory."""

import struct

from balsamspoke_types.ports import StoredObject

SLACK_FRACTION = 8

_HEAD = struct.Struct(">q?")


class PackedObjects:
    """The highest version of each object of one kind, tombstones too.

    Each object is one byte string of version, deletion mark and value; it is
    decoded on use.

    Parameters
    ----------
    kind : Kind
        Kind of the objects.
    """

    def __init__(self, kind):
        self.kind = kind
        self._packed = {}
        self._tombstones = {}
        self._sorted = None

    def __len__(self):
        return len(self._packed) - len(self._tombstones)

    def put(self, stored):
        """Keep an object in place of an older version."""
        if stored.name not in self._packed:
            self._sorted = None
        head = _HEAD.pack(stored.version, stored.deleted)
        self._packed[stored.name] = head + stored.value
        # Last in the dict means last to be dropped.
        self._tombstones.pop(stored.name, None)
        if stored.deleted:
            self._tombstones[stored.name] = stored.version

    def get(self, name):
        """Return the StoredObject of a name, or None."""
        packed = self._packed.get(name)
        if packed is None:
            return None
        version, deleted = _HEAD.unpack_from(packed)
        return StoredObject(self.kind, name, version, packed[_HEAD.size :], deleted)

    def get_version(self, name):
        """Return the version of a name's object or tombstone, or None."""
        packed = self._packed.get(name)
        return None if packed is None else _HEAD.unpack_from(packed)[0]

    def list_names(self):
        """Return the sorted names, of tombstones too; not to be changed."""
        if self._sorted is None:
            self._sorted = sorted(self._packed)
        return self._sorted

    def list_live(self):
        """Return the sorted names of the objects that exist."""
        return [name for name in self.list_names() if name not in self._tombstones]

    def drop_tombstones(self, keep):
        """Drop the oldest tombstones over a number; return their highest version."""
        excess = len(self._tombstones) - keep
        # Dropping many at a time keeps the sorting rare.
        if excess <= keep // SLACK_FRACTION:
            return 0
        oldest = sorted(self._tombstones.items(), key=lambda item: item[1])[:excess]
        for name, _ in oldest:
            del self._packed[name]
            del self._tombstones[name]
        self._sorted = None
        return oldest[-1][1]
