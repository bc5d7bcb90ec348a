"""Plans of catalogue changes, computed without network access."""

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
from .files import get_field_name

# JSON member of a stored value: id of the operation that wrote it.
OPERATION_MEMBER = "operation"


class Action(enum.Enum):
    """Effect of a change on an object."""

    CREATE = "create"
    UPDATE = "update"
    DELETE = "delete"
    UNCHANGED = "unchanged"


@dataclass(frozen=True, slots=True)
class Change:
    """Change of one catalogue object.

    Attributes
    ----------
    action : Action
        Effect on the object.
    kind : Kind
        Kind of the object.
    name : str
        Name of the object.
    before : object or None
        Current data class; None if the object doesn't exist or can't be decoded.
    after : object or None
        Desired data class; None for a deletion.
    stored : StoredObject or None
        Stored object that ``before`` was decoded from; None if it doesn't exist.
    """

    action: Action
    kind: object
    name: str
    before: object = None
    after: object = None
    stored: object = None


def get_members(value):
    """Return the JSON members of a catalogue object as a dict, or None for None."""
    if value is None:
        return None
    return orjson.loads(encode_object(value))


def list_differences(change):
    """Return (field, before, after) for each field that differs in a Change."""
    before = get_members(change.before) or {}
    after = get_members(change.after) or {}
    names = [field.name for field in fields(change.after or change.before)]
    return [
        (name, before.get(name), after.get(name))
        for name in names
        if name != "name" and before.get(name) != after.get(name)
    ]


def encode_with_operation(value, operation):
    """Return the bytes to store for an object, with the id of the operation."""
    members = orjson.loads(encode_object(value))
    return orjson.dumps({**members, OPERATION_MEMBER: operation})


def read_operation(stored):
    """Return the id of the operation that wrote a StoredObject, or None."""
    try:
        return orjson.loads(stored.value).get(OPERATION_MEMBER)
    except (ValueError, AttributeError):
        return None


def plan_apply(catalogue, file_objects):
    """Return the Changes that apply files to a catalogue, in the order to write.

    Parameters
    ----------
    catalogue : Catalogue
        Current catalogue.
    file_objects : iterable of FileObject
        Desired objects.

    Raises
    ------
    ExceptionGroup
        With a FileProblem or StoredProblem for each way in which the resulting
        catalogue would be invalid.
    """
    desired = _index_files(file_objects)
    values = {key: file_object.value for key, file_object in desired.items()}
    _validate(catalogue, {**catalogue.values, **values}, desired)
    changes = [
        _plan_change(catalogue, key, file_object)
        for key, file_object in desired.items()
    ]
    return sorted(changes, key=lambda change: CATALOGUE_KINDS.index(change.kind))


def plan_deletion(catalogue, keys):
    """Return the Changes that delete objects, in the order to write.

    Parameters
    ----------
    catalogue : Catalogue
        Current catalogue.
    keys : list of tuple
        (kind, name) of each object to delete; all must exist.

    Raises
    ------
    ExceptionGroup
        With a StoredProblem for each remaining reference to a deleted object.
    """
    remaining = {
        key: value for key, value in catalogue.values.items() if key not in keys
    }
    _validate(catalogue, remaining, {})
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
    """Return the catalogue object in a StoredObject, or None if it isn't valid."""
    try:
        return decode_object(stored.kind, stored.name, stored.value)
    except CatalogueError:
        return None


def _index_files(file_objects):
    desired, problems = {}, []
    for file_object in file_objects:
        key = (file_object.kind, file_object.value.name)
        if key in desired:
            first = desired[key]
            problem = (
                f"{file_object.kind.value}/{file_object.value.name} is given twice"
            )
            location = f"first at {first.path}:{first.line}"
            problems.append(
                FileProblem(
                    file_object.path, file_object.line, f"{problem}, {location}"
                )
            )
        else:
            desired[key] = file_object
    if problems:
        raise ExceptionGroup("the catalogue files aren't valid", problems)
    return desired


def _plan_change(catalogue, key, file_object):
    kind, name = key
    stored = catalogue.stored.get(key)
    before = catalogue.values.get(key)
    if stored is None:
        action = Action.CREATE
    elif before == file_object.value:
        action = Action.UNCHANGED
    else:
        action = Action.UPDATE
    return Change(action, kind, name, before, file_object.value, stored)


def _validate(catalogue, values, desired):
    """Raise an ExceptionGroup of the problems of ``values``.

    Problems of the current catalogue are left out unless they are in a desired
    object, so that they don't block other changes.
    """
    problems = _find_problems(values)
    if not problems:
        return
    old = {str(error) for error in _find_problems(catalogue.values)}
    located = [
        (_locate_problem(error, desired), str(error) in old) for error in problems
    ]
    new = [
        problem
        for problem, is_old in located
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


def _locate_problem(error, desired):
    for (kind, name), file_object in desired.items():
        field_name = get_field_name(error)
        if error.where == f"{kind.value}/{name}.{field_name}":
            return FileProblem(
                file_object.path, file_object.find_line(field_name), str(error)
            )
    return StoredProblem(str(error))
