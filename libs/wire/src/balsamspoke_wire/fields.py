"""Conversion between fields of data classes and fields of protocol messages.

The converters are chosen once for each class from its type hints, so that a new
message needs no code of its own: the data class and the protocol message have the
same name and the same field names.
"""

import dataclasses
import enum
import types
import typing
from datetime import timedelta

from balsamspoke_types.identifiers import AttemptId, ProcessId

MICROSECOND = timedelta(microseconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class _Field:
    """How one field is written into a protocol message and read back."""

    name: str
    write: object
    read: object


class MessageConverter:
    """Convert one data class to and from its protocol message.

    Parameters
    ----------
    data_class : type
        The frozen data class.
    wire_class : type
        The generated class of the same name.
    """

    def __init__(self, data_class, wire_class):
        hints = typing.get_type_hints(data_class)
        self._data_class = data_class
        self._wire_class = wire_class
        self._fields = [
            _choose_field(field.name, hints[field.name], wire_class)
            for field in dataclasses.fields(data_class)
        ]

    def encode(self, message):
        """Return the protocol message for a data class instance."""
        encoded = self._wire_class()
        self.write(message, encoded)
        return encoded

    def write(self, message, encoded):
        """Fill a protocol message from a data class instance."""
        for field in self._fields:
            field.write(encoded, getattr(message, field.name))

    def decode(self, encoded):
        """Return the data class instance for a protocol message."""
        return self._data_class(*[field.read(encoded) for field in self._fields])


def _choose_field(name, hint, wire_class):
    origin = typing.get_origin(hint)
    if origin in (types.UnionType, typing.Union):
        return _make_optional(name, typing.get_args(hint)[0], wire_class)
    if origin is tuple:
        return _make_repeated(name, typing.get_args(hint), wire_class)
    if dataclasses.is_dataclass(hint) and hint not in _TEXT_FORMS:
        return _make_nested(name, hint, wire_class)
    return _make_scalar(name, hint)


def _make_scalar(name, hint):
    to_wire, from_wire = _choose_scalar(hint)
    if to_wire is None:
        return _Field(
            name,
            lambda encoded, value: setattr(encoded, name, value),
            lambda encoded: getattr(encoded, name),
        )
    return _Field(
        name,
        lambda encoded, value: setattr(encoded, name, to_wire(value)),
        lambda encoded: from_wire(getattr(encoded, name)),
    )


def _make_nested(name, hint, wire_class):
    converter = _make_converter(name, hint, wire_class)
    return _Field(
        name,
        lambda encoded, value: converter.write(value, getattr(encoded, name)),
        lambda encoded: converter.decode(getattr(encoded, name)),
    )


def _make_optional(name, hint, wire_class):
    nested = _make_nested(name, hint, wire_class)

    def write(encoded, value):
        if value is not None:
            getattr(encoded, name).SetInParent()
            nested.write(encoded, value)

    def read(encoded):
        return nested.read(encoded) if encoded.HasField(name) else None

    return _Field(name, write, read)


def _make_repeated(name, arguments, wire_class):
    hint = arguments[0]
    if arguments[-1] is not Ellipsis:
        return _make_pairs(name, wire_class)
    if typing.get_origin(hint) is tuple:
        return _make_pairs(name, wire_class)
    if dataclasses.is_dataclass(hint) and hint not in _TEXT_FORMS:
        converter = _make_converter(name, hint, wire_class)
        to_wire, from_wire = converter.encode, converter.decode
    else:
        to_wire, from_wire = _choose_scalar(hint)

    def write(encoded, values):
        items = map(to_wire, values) if to_wire else values
        getattr(encoded, name).extend(items)

    def read(encoded):
        items = getattr(encoded, name)
        return tuple(map(from_wire, items)) if from_wire else tuple(items)

    return _Field(name, write, read)


def _make_pairs(name, wire_class):
    """Carry a tuple of pairs of text, such as HTTP headers."""
    pair_class = _find_message_class(name, wire_class)

    def write(encoded, pairs):
        getattr(encoded, name).extend(
            pair_class(name=first, value=second) for first, second in pairs
        )

    def read(encoded):
        return tuple((pair.name, pair.value) for pair in getattr(encoded, name))

    return _Field(name, write, read)


def _make_converter(name, hint, wire_class):
    return MessageConverter(hint, _find_message_class(name, wire_class))


def _find_message_class(name, wire_class):
    descriptor = wire_class.DESCRIPTOR.fields_by_name[name].message_type
    return descriptor._concrete_class


def _choose_scalar(hint):
    if hint in _TEXT_FORMS:
        return str, hint.parse
    if hint is timedelta:
        return (lambda value: value // MICROSECOND), (lambda value: value * MICROSECOND)
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return (lambda value: value.value), hint
    return None, None


_TEXT_FORMS = {ProcessId, AttemptId}
