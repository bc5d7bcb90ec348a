"""Stored record of the units of a group that each process holds."""

from dataclasses import dataclass, field

import orjson
from balsamspoke_types.exceptions import IdentifierError
from balsamspoke_types.identifiers import ProcessId

from .exceptions import GroupRecordError


@dataclass(frozen=True, slots=True)
class GroupRecord:
    """Units that processes hold of one group; an immutable value.

    Attributes
    ----------
    units : dict of ProcessId to int
        Units held by each process, above zero.
    marks : dict of ProcessId to str
        Holders whose units are being reclaimed, with the id of the reclaim mark.
    """

    units: dict = field(default_factory=dict)
    marks: dict = field(default_factory=dict)

    def encode(self):
        """Return the record as JSON bytes."""
        units = {str(process): count for process, count in self.units.items()}
        marks = {str(process): mark for process, mark in self.marks.items()}
        content = {"units": units, "marks": marks}
        return orjson.dumps(content, option=orjson.OPT_SORT_KEYS)

    @classmethod
    def decode(cls, value):
        """Parse the bytes that ``encode`` returned.

        Raises
        ------
        GroupRecordError
            If the bytes aren't a valid record.
        """
        try:
            content = orjson.loads(value)
            units = _parse_keys(content["units"])
            marks = _parse_keys(content["marks"])
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            raise GroupRecordError("not a record of a budget group") from error
        except IdentifierError as error:
            raise GroupRecordError("holder isn't a valid process id") from error
        if any(type(count) is not int or count <= 0 for count in units.values()):
            raise GroupRecordError("units must be integers above zero")
        return cls(units, marks)

    def get_units(self, process):
        """Return the number of units that a process holds."""
        return self.units.get(process, 0)

    def count_free(self, total):
        """Return how many of a group's ``total`` units no process holds."""
        return max(0, total - sum(self.units.values()))

    def with_units(self, process, count):
        """Return a record in which a process holds ``count`` units and has no mark."""
        units = {key: held for key, held in self.units.items() if key != process}
        if count:
            units[process] = count
        return GroupRecord(units, _without(self.marks, process))

    def with_mark(self, process, mark):
        """Return a record with a process's mark set, or removed if ``mark`` is None."""
        marks = _without(self.marks, process)
        if mark is not None:
            marks[process] = mark
        return GroupRecord(self.units, marks)


def _without(mapping, key):
    return {other: value for other, value in mapping.items() if other != key}


def _parse_keys(mapping):
    return {ProcessId.parse(key): value for key, value in mapping.items()}
