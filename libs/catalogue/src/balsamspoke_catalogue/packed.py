"""Compact in-memory storage for the objects of one kind."""

import struct

from balsamspoke_types.ports import StoredObject

TOMBSTONE_SLACK_DIVISOR = 8

_HEADER = struct.Struct(">q?")


class PackedObjects:
    """Latest version of each object of one kind, including tombstones.

    To save memory, each object is one byte string of version, deletion flag and value,
    which is decoded on access.

    Parameters
    ----------
    kind : Kind
        Kind of the objects.
    """

    def __init__(self, kind):
        self.kind = kind
        self._packed_values = {}
        self._tombstone_versions = {}
        self._sorted_names = None

    def __len__(self):
        return len(self._packed_values) - len(self._tombstone_versions)

    def put(self, stored):
        """Store an object, replacing an older version."""
        if stored.name not in self._packed_values:
            self._sorted_names = None
        header = _HEADER.pack(stored.version, stored.deleted)
        self._packed_values[stored.name] = header + stored.value
        # Reinserts a tombstone at the end, since drop_tombstones keeps the insertion
        # order of equal versions.
        self._tombstone_versions.pop(stored.name, None)
        if stored.deleted:
            self._tombstone_versions[stored.name] = stored.version

    def get(self, name):
        """Return the StoredObject or tombstone with a name, or None."""
        packed = self._packed_values.get(name)
        if packed is None:
            return None
        version, deleted = _HEADER.unpack_from(packed)
        return StoredObject(self.kind, name, version, packed[_HEADER.size :], deleted)

    def get_version(self, name):
        """Return the version of the object or tombstone with a name, or None."""
        packed = self._packed_values.get(name)
        return None if packed is None else _HEADER.unpack_from(packed)[0]

    def list_names(self):
        """Return the sorted names with tombstones; the list must not be changed."""
        if self._sorted_names is None:
            self._sorted_names = sorted(self._packed_values)
        return self._sorted_names

    def list_live_names(self):
        """Return the sorted names without tombstones."""
        return [
            name for name in self.list_names() if name not in self._tombstone_versions
        ]

    def drop_tombstones(self, keep):
        """Drop the oldest tombstones if many more than a limit are kept.

        Parameters
        ----------
        keep : int
            Number of tombstones that remain after a drop.

        Returns
        -------
        int
            Highest version of the dropped tombstones; 0 if none was dropped.
        """
        excess = len(self._tombstone_versions) - keep
        # Dropping in batches makes sorting rare.
        if excess <= keep // TOMBSTONE_SLACK_DIVISOR:
            return 0
        oldest = sorted(self._tombstone_versions.items(), key=lambda item: item[1])[
            :excess
        ]
        for name, _ in oldest:
            del self._packed_values[name]
            del self._tombstone_versions[name]
        self._sorted_names = None
        return oldest[-1][1]
