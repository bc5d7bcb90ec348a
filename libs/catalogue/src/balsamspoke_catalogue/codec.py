"""Encode catalogue objects as JSON and decode them.

An object's value is a JSON object with one member for each field of its data
class but ``name``, which is the name in the object API. Enumerations are their
values, durations are seconds, fields with a default may be left out.
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

CLASS_OF_KIND = {
    Kind.TEAM: Team,
    Kind.MODEL: Model,
    Kind.ADAPTER: Adapter,
    Kind.SERVICE: PlainService,
    Kind.KEY: KeyRecord,
}
KIND_OF_CLASS = {cls: kind for kind, cls in CLASS_OF_KIND.items()}

_MEMBER_TYPES = {
    tuple[int, ...]: int,
    tuple[str, ...]: str,
    tuple[ServiceCall, ...]: ServiceCall,
}


def encode_object(obj):
    """Return the value that the object API holds for a catalogue object."""
    members = {
        field.name: getattr(obj, field.name)
        for field in fields(obj)
        if field.name != "name"
    }
    return orjson.dumps(members, default=_encode_special)


def decode_object(kind, name, value, strict=False):
    """Return the catalogue object that a value holds.

    Parameters
    ----------
    kind : Kind
        One of ``CATALOGUE_KINDS``.
    name : str
        Name in the object API.
    value : bytes
        JSON.
    strict : bool
        Whether unknown fields are refused, as for an operator's file. Values of
        the object API may come from a newer writer, so there they are passed over.

    Raises
    ------
    CatalogueError
        If the value isn't such an object.
    """
    where = f"{kind.value}/{name}"
    try:
        members = orjson.loads(value)
    except orjson.JSONDecodeError as error:
        raise CatalogueError(where, f"not JSON ({error})", "write JSON") from error
    return decode_members(kind, name, members, strict)


def decode_members(kind, name, members, strict=False):
    """Return the catalogue object made of a mapping, as ``decode_object`` does."""
    return _decode_class(
        CLASS_OF_KIND[kind], members, f"{kind.value}/{name}", strict, {"name": name}
    )


def _encode_special(value):
    if isinstance(value, timedelta):
        return value.total_seconds()
    raise TypeError(f"no JSON form of {type(value).__name__}")


def _decode_class(cls, members, where, strict, given):
    if not isinstance(members, dict):
        raise CatalogueError(where, "not a JSON object", "write {...}")
    known = _get_fields(cls)
    if strict:
        _refuse_unknown(members, known, where)
    values = dict(given)
    for name, field in known.items():
        if name in members:
            place = f"{where}.{name}"
            values[name] = _decode_field(field.type, members[name], place, strict)
        elif field.default is MISSING:
            raise CatalogueError(f"{where}.{name}", "missing", "add the field")
    return cls(**values)


@cache
def _get_fields(cls):
    # A call's members have no name of their own in the object API.
    is_named = cls in KIND_OF_CLASS
    return {
        field.name: field
        for field in fields(cls)
        if not (is_named and field.name == "name")
    }


def _refuse_unknown(members, known, where):
    unknown = sorted(str(name) for name in members if name not in known)
    if unknown:
        raise CatalogueError(
            f"{where}.{unknown[0]}",
            "unknown field",
            f"remove it, or use one of {', '.join(known)}",
        )


def _decode_field(type_, value, where, strict):
    if type_ is timedelta:
        return _decode_duration(value, where)
    if type_ is PriorityClass:
        return _decode_enum(PriorityClass, value, where)
    member_type = _MEMBER_TYPES.get(type_)
    if member_type is ServiceCall:
        return _decode_calls(value, where, strict)
    if member_type is not None:
        return _decode_tuple(member_type, value, where)
    return _decode_plain(type_, value, where)


def _decode_duration(value, where):
    seconds = _decode_plain(float, value, where)
    try:
        return timedelta(seconds=seconds)
    except OverflowError as error:
        raise CatalogueError(where, "too long", "give fewer seconds") from error


def _decode_enum(cls: type[enum.Enum], value, where):
    try:
        return cls(value)
    except ValueError as error:
        allowed = ", ".join(member.value for member in cls)
        raise CatalogueError(where, f"{value!r}", f"use one of {allowed}") from error


def _decode_calls(value, where, strict):
    _check_list(value, where)
    return tuple(
        _decode_class(ServiceCall, member, f"{where}[{index}]", strict, {})
        for index, member in enumerate(value)
    )


def _decode_tuple(type_, value, where):
    _check_list(value, where)
    return tuple(
        _decode_plain(type_, member, f"{where}[{index}]")
        for index, member in enumerate(value)
    )


def _check_list(value, where):
    if not isinstance(value, list):
        raise CatalogueError(where, "not a list", "write [...]")


def _decode_plain(type_, value, where):
    # JSON's true is an int to Python, and a whole number is fine as a float.
    if type_ is float and type(value) is int:
        return float(value)
    if type(value) is not type_:
        problem = f"{type(value).__name__} in place of {type_.__name__}"
        raise CatalogueError(where, problem, f"write a {type_.__name__}")
    return value
