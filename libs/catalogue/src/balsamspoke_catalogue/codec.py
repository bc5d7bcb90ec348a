"""JSON encoding of catalogue objects.

The value of an object is a JSON object with one member for each field of its data class
except ``name``, which is the object's name in the object API. Enumerations are encoded
by value and durations in seconds. Fields with a default may be omitted.
"""

import enum
from dataclasses import MISSING, fields
from datetime import timedelta
from functools import cache

import orjson
from balsamspoke_types.objects import (
    Adapter,
    KeyRecord,
    Kind,
    Model,
    PlainService,
    PriorityClass,
    ServiceCall,
    Team,
)

from .exceptions import CatalogueError

CLASS_BY_KIND = {
    Kind.TEAM: Team,
    Kind.MODEL: Model,
    Kind.ADAPTER: Adapter,
    Kind.SERVICE: PlainService,
    Kind.KEY: KeyRecord,
}
KIND_BY_CLASS = {cls: kind for kind, cls in CLASS_BY_KIND.items()}

_ELEMENT_TYPES = {
    tuple[int, ...]: int,
    tuple[str, ...]: str,
    tuple[ServiceCall, ...]: ServiceCall,
}


def encode_object(obj):
    """Return the JSON that the object API stores for a catalogue object."""
    members = {
        field.name: getattr(obj, field.name)
        for field in fields(obj)
        if field.name != "name"
    }
    return orjson.dumps(members, default=_encode_default)


def decode_object(kind, name, value, strict=False):
    """Return the catalogue object that a stored value encodes.

    Parameters
    ----------
    kind : Kind
        One of ``CATALOGUE_KINDS``.
    name : str
        Name of the object in the object API.
    value : bytes
        JSON text.
    strict : bool
        Whether unknown fields are errors, as in an operator's file. Otherwise they
        are ignored, since a newer writer may have stored the value.

    Raises
    ------
    CatalogueError
        If the value is not a valid object of this kind.
    """
    location = f"{kind.value}/{name}"
    try:
        members = orjson.loads(value)
    except orjson.JSONDecodeError as error:
        raise CatalogueError(
            location, f"not valid JSON ({error})", "provide valid JSON"
        ) from error
    return decode_members(kind, name, members, strict)


def decode_members(kind, name, members, strict=False):
    """Return the catalogue object for a decoded JSON object.

    Parameters
    ----------
    kind : Kind
        One of ``CATALOGUE_KINDS``.
    name : str
        Name of the object in the object API.
    members : dict
        Mapping decoded from the JSON text.
    strict : bool
        Whether unknown fields are errors.

    Raises
    ------
    CatalogueError
        If the mapping is not a valid object of this kind.
    """
    return _decode_class(
        CLASS_BY_KIND[kind], members, f"{kind.value}/{name}", strict, {"name": name}
    )


def _encode_default(value):
    if isinstance(value, timedelta):
        return value.total_seconds()
    raise TypeError(f"{type(value).__name__} has no JSON encoding")


def _decode_class(cls, members, location, strict, preset):
    if not isinstance(members, dict):
        raise CatalogueError(location, "not a JSON object", "use {...}")
    known_fields = _get_fields(cls)
    if strict:
        _reject_unknown_fields(members, known_fields, location)
    values = dict(preset)
    for name, field in known_fields.items():
        if name in members:
            field_location = f"{location}.{name}"
            values[name] = _decode_field(
                field.type, members[name], field_location, strict
            )
        elif field.default is MISSING:
            raise CatalogueError(f"{location}.{name}", "missing", "add the field")
    return cls(**values)


@cache
def _get_fields(cls):
    # A ServiceCall is part of another object and has no name in the object API.
    has_object_name = cls in KIND_BY_CLASS
    return {
        field.name: field
        for field in fields(cls)
        if not (has_object_name and field.name == "name")
    }


def _reject_unknown_fields(members, known_fields, location):
    unknown = sorted(str(name) for name in members if name not in known_fields)
    if unknown:
        raise CatalogueError(
            f"{location}.{unknown[0]}",
            "unknown field",
            f"remove it, or use one of {', '.join(known_fields)}",
        )


def _decode_field(type_, value, location, strict):
    if type_ is timedelta:
        return _decode_duration(value, location)
    if type_ is PriorityClass:
        return _decode_enum(PriorityClass, value, location)
    element_type = _ELEMENT_TYPES.get(type_)
    if element_type is ServiceCall:
        return _decode_calls(value, location, strict)
    if element_type is not None:
        return _decode_scalars(element_type, value, location)
    return _decode_scalar(type_, value, location)


def _decode_duration(value, location):
    seconds = _decode_scalar(float, value, location)
    try:
        return timedelta(seconds=seconds)
    except OverflowError as error:
        raise CatalogueError(
            location, "duration too long", "use fewer seconds"
        ) from error


def _decode_enum(cls: type[enum.Enum], value, location):
    try:
        return cls(value)
    except ValueError as error:
        allowed = ", ".join(member.value for member in cls)
        raise CatalogueError(
            location, f"{value!r} is invalid", f"use one of {allowed}"
        ) from error


def _decode_calls(value, location, strict):
    _require_list(value, location)
    return tuple(
        _decode_class(ServiceCall, element, f"{location}[{index}]", strict, {})
        for index, element in enumerate(value)
    )


def _decode_scalars(type_, value, location):
    _require_list(value, location)
    return tuple(
        _decode_scalar(type_, element, f"{location}[{index}]")
        for index, element in enumerate(value)
    )


def _require_list(value, location):
    if not isinstance(value, list):
        raise CatalogueError(location, "not a list", "use [...]")


def _decode_scalar(type_, value, location):
    # Compares exact types, since bool is a subclass of int. Integers are valid floats.
    if type_ is float and type(value) is int:
        return float(value)
    if type(value) is not type_:
        problem = f"{type(value).__name__} instead of {type_.__name__}"
        raise CatalogueError(location, problem, f"use a value of type {type_.__name__}")
    return value
