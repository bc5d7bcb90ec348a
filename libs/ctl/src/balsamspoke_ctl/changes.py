"""What a command would change in the catalogue; decided without any call."""

import enum
from dataclasses import dataclass, fields

import orjson
from balsamspoke_catalogue import (
    CatalogueError,
    decode_object,
    encode_object,
    validate_catalogue,
)
from balsamspoke_types.objects import CATALOGUE_KINDS

from .exceptions import FileProblem, StoredProblem
from .files import get_field

# Member of a stored value that names the operation which wrote it.
OPERATION = "operation"


class Action(enum.Enum):
    """What is done to an object."""

    CREATE = "create"
    UPDATE = "update"
    DELETE = "delete"
    UNCHANGED = "unchanged"


@dataclass(frozen=True, slots=True)
class Change:
    """One object before and after.

    Attributes
    ----------
    action : Action
        What is done.
    kind : Kind
        Kind of the object.
    name : str
        Its name.
    before, after : object or None
        The data classes; None for no object.
    stored : StoredObject or None
        What ``before`` was read from.
    """

    action: Action
    kind: object
    name: str
    before: object = None
    after: object = None
    stored: object = None


def describe_members(value):
    """Return the members of a catalogue object as plain data; None for None."""
    if value is None:
        return None
    return orjson.loads(encode_object(value))


def list_differences(change):
    """Return (field, before, after) for each field that a change changes."""
    before = describe_members(change.before) or {}
    after = describe_members(change.after) or {}
    names = [field.name for field in fields(change.after or change.before)]
    return [
        (name, before.get(name), after.get(name))
        for name in names
        if name != "name" and before.get(name) != after.get(name)
    ]


def encode_written(value, operation):
    """Return the bytes to store: the object and the operation that writes it."""
    members = orjson.loads(encode_object(value))
    return orjson.dumps({**members, OPERATION: operation})


def read_operation(stored):
    """Return the operation that wrote a StoredObject, or None."""
    try:
        return orjson.loads(stored.value).get(OPERATION)
    except (ValueError, AttributeError):
        return None


def plan_apply(catalogue, file_objects):
    """Return the Changes that bring files into a catalogue, in the order to write.

    Parameters
    ----------
    catalogue : Catalogue
        What there is.
    file_objects : iterable of FileObject
        What is wanted.

    Raises
    ------
    ExceptionGroup
        Of a FileProblem or StoredProblem for each problem of the catalogue that
        would come of it.
    """
    wanted = _index_files(file_objects)
    values = {key: found.value for key, found in wanted.items()}
    _validate(catalogue, {**catalogue.values, **values}, wanted)
    changes = [_plan_one(catalogue, key, found) for key, found in wanted.items()]
    return sorted(changes, key=lambda change: CATALOGUE_KINDS.index(change.kind))


def plan_deletion(catalogue, keys):
    """Return the Changes that delete objects, in the order to write.

    Raises
    ------
    ExceptionGroup
        Of a StoredProblem for each object that still needs one of them.
    """
    left = {key: value for key, value in catalogue.values.items() if key not in keys}
    _validate(catalogue, left, {})
    changes = [
        Change(
            Action.DELETE,
            kind,
            name,
            catalogue.values.get((kind, name)),
            None,
            catalogue.stored[kind, name],
        )
        for kind, name in keys
    ]
    order = CATALOGUE_KINDS.index
    return sorted(changes, key=lambda change: order(change.kind), reverse=True)


def decode_stored(stored):
    """Return the catalogue object of a StoredObject; None if it isn't valid."""
    try:
        return decode_object(stored.kind, stored.name, stored.value)
    except CatalogueError:
        return None


def _index_files(file_objects):
    wanted, problems = {}, []
    for found in file_objects:
        key = (found.kind, found.value.name)
        if key in wanted:
            first = wanted[key]
            problem = f"{found.kind.value}/{found.value.name} is given twice"
            place = f"first at {first.path}:{first.line}"
            problems.append(FileProblem(found.path, found.line, f"{problem}, {place}"))
        else:
            wanted[key] = found
    if problems:
        raise ExceptionGroup("the catalogue files aren't valid", problems)
    return wanted


def _plan_one(catalogue, key, found):
    kind, name = key
    stored = catalogue.stored.get(key)
    before = catalogue.values.get(key)
    if stored is None:
        action = Action.CREATE
    elif before == found.value:
        action = Action.UNCHANGED
    else:
        action = Action.UPDATE
    return Change(action, kind, name, before, found.value, stored)


def _validate(catalogue, values, wanted):
    """Raise for problems of ``values``, but for old ones of untouched objects."""
    problems = _find_problems(values)
    if not problems:
        return
    old = {str(error) for error in _find_problems(catalogue.values)}
    placed = [(_place_problem(error, wanted), str(error) in old) for error in problems]
    new = [
        problem
        for problem, is_old in placed
        if isinstance(problem, FileProblem) or not is_old
    ]
    if new:
        raise ExceptionGroup("the catalogue would not be valid", new)


def _find_problems(values):
    try:
        validate_catalogue(values.values())
    except ExceptionGroup as group:
        return group.exceptions
    return ()


def _place_problem(error, wanted):
    for (kind, name), found in wanted.items():
        field_name = get_field(error)
        if error.where == f"{kind.value}/{name}.{field_name}":
            return FileProblem(found.path, found.find_line(field_name), str(error))
    return StoredProblem(str(error))
