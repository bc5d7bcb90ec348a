"""The stored record of who holds a group's units."""

from dataclasses import dataclass, field

import orjson
from balsamspoke_types.exceptions import IdentifierError
from balsamspoke_types.identifiers import ProcessId

from .exceptions import GroupRecordError


@dataclass(frozen=True, slots=True)
class GroupRecord:
    """Who holds how many units of a group.

    Attributes
    ----------
    units : dict of ProcessId to int
        Units held, above zero.
    marks : dict of ProcessId to str
        Holders whose units are being reclaimed, and the id of the mark.
    """

    units: dict = field(default_factory=dict)
    marks: dict = field(default_factory=dict)

    def encode(self):
        """Return the record as bytes."""
        units = {str(process): count for process, count in self.units.items()}
        marks = {str(process): mark for process, mark in self.marks.items()}
        content = {"units": units, "marks": marks}
        return orjson.dumps(content, option=orjson.OPT_SORT_KEYS)

    @classmethod
    def decode(cls, value):
        """Read back what ``encode`` gave.

        Raises
        ------
        GroupRecordError
            If the bytes aren't a record.
        """
        try:
            content = orjson.loads(value)
            units = _parse_keys(content["units"])
            marks = _parse_keys(content["marks"])
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            raise GroupRecordError("not a budget group's record") from error
        except IdentifierError as error:
            raise GroupRecordError("holder isn't a process id") from error
        if any(type(count) is not int or count <= 0 for count in units.values()):
            raise GroupRecordError("units aren't whole numbers above zero")
        return cls(units, marks)

    def held_by(self, process):
        """Return the units of a process."""
        return self.units.get(process, 0)

    def free(self, total):
        """Return the units that nobody holds, of a total."""
        return max(0, total - sum(self.units.values()))

    def with_units(self, process, count):
        """Return a record in which a process holds that many units, unmarked."""
        units = {key: held for key, held in self.units.items() if key != process}
        if count:
            units[process] = count
        return GroupRecord(units, _without(self.marks, process))

    def with_mark(self, process, mark):
        """Return a record with a mark on a process, or without if None."""
        marks = _without(self.marks, process)
        if mark is not None:
            marks[process] = mark
        return GroupRecord(self.units, marks)


def _without(mapping, key):
    return {other: value for other, value in mapping.items() if other != key}


def _parse_keys(mapping):
    return {ProcessId.parse(key): value for key, value in mapping.items()}
