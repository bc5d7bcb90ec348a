"""Conversion between data classes and protocol messages.

A data class and its protocol message have the same name and the same field names. The
conversion of each field is derived once per class from the type hints, so a new message
needs no code here.
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
    """Encoding of one field into a protocol message and its decoding.

    Attributes
    ----------
    name : str
        Name of the field.
    set_value : callable
        Called with the protocol message and the value to encode into it.
    get_value : callable
        Called with the protocol message; returns the decoded value.
    """

    name: str
    set_value: object
    get_value: object


class MessageConverter:
    """Converter between a data class and its protocol message.

    Parameters
    ----------
    data_class : type
        A frozen data class.
    wire_class : type
        The generated protocol message class of the same name.
    """

    def __init__(self, data_class, wire_class):
        hints = typing.get_type_hints(data_class)
        self._data_class = data_class
        self._wire_class = wire_class
        self._fields = [
            _make_field(field.name, hints[field.name], wire_class)
            for field in dataclasses.fields(data_class)
        ]

    def encode(self, message):
        """Return the protocol message for a data class instance."""
        encoded = self._wire_class()
        self.encode_into(message, encoded)
        return encoded

    def encode_into(self, message, encoded):
        """Fill a protocol message from a data class instance."""
        for field in self._fields:
            field.set_value(encoded, getattr(message, field.name))

    def decode(self, encoded):
        """Return the data class instance for a protocol message."""
        return self._data_class(*[field.get_value(encoded) for field in self._fields])


def _make_field(name, hint, wire_class):
    origin = typing.get_origin(hint)
    if origin in (types.UnionType, typing.Union):
        return _make_optional_field(name, typing.get_args(hint)[0], wire_class)
    if origin is tuple:
        return _make_repeated_field(name, typing.get_args(hint), wire_class)
    if dataclasses.is_dataclass(hint) and hint not in _STRING_ENCODED_TYPES:
        return _make_nested_field(name, hint, wire_class)
    return _make_scalar_field(name, hint)


def _make_scalar_field(name, hint):
    encode_value, decode_value = _get_scalar_conversion(hint)
    if encode_value is None:
        return _Field(
            name,
            lambda encoded, value: setattr(encoded, name, value),
            lambda encoded: getattr(encoded, name),
        )
    return _Field(
        name,
        lambda encoded, value: setattr(encoded, name, encode_value(value)),
        lambda encoded: decode_value(getattr(encoded, name)),
    )


def _make_nested_field(name, hint, wire_class):
    converter = _make_converter(name, hint, wire_class)
    return _Field(
        name,
        lambda encoded, value: converter.encode_into(value, getattr(encoded, name)),
        lambda encoded: converter.decode(getattr(encoded, name)),
    )


def _make_optional_field(name, hint, wire_class):
    nested = _make_nested_field(name, hint, wire_class)

    def set_value(encoded, value):
        if value is not None:
            getattr(encoded, name).SetInParent()
            nested.set_value(encoded, value)

    def get_value(encoded):
        return nested.get_value(encoded) if encoded.HasField(name) else None

    return _Field(name, set_value, get_value)


def _make_repeated_field(name, arguments, wire_class):
    hint = arguments[0]
    if arguments[-1] is not Ellipsis:
        return _make_pair_field(name, wire_class)
    if typing.get_origin(hint) is tuple:
        return _make_pair_field(name, wire_class)
    if dataclasses.is_dataclass(hint) and hint not in _STRING_ENCODED_TYPES:
        converter = _make_converter(name, hint, wire_class)
        encode_value, decode_value = converter.encode, converter.decode
    else:
        encode_value, decode_value = _get_scalar_conversion(hint)

    def set_value(encoded, values):
        items = map(encode_value, values) if encode_value else values
        getattr(encoded, name).extend(items)

    def get_value(encoded):
        items = getattr(encoded, name)
        return tuple(map(decode_value, items)) if decode_value else tuple(items)

    return _Field(name, set_value, get_value)


def _make_pair_field(name, wire_class):
    """Return the field for a tuple of string pairs, such as HTTP headers."""
    pair_class = _get_message_class(name, wire_class)

    def set_value(encoded, pairs):
        getattr(encoded, name).extend(
            pair_class(name=first, value=second) for first, second in pairs
        )

    def get_value(encoded):
        return tuple((pair.name, pair.value) for pair in getattr(encoded, name))

    return _Field(name, set_value, get_value)


def _make_converter(name, hint, wire_class):
    return MessageConverter(hint, _get_message_class(name, wire_class))


def _get_message_class(name, wire_class):
    descriptor = wire_class.DESCRIPTOR.fields_by_name[name].message_type
    return descriptor._concrete_class


def _get_scalar_conversion(hint):
    if hint in _STRING_ENCODED_TYPES:
        return str, hint.parse
    if hint is timedelta:
        return (lambda value: value // MICROSECOND), (lambda value: value * MICROSECOND)
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return (lambda value: value.value), hint
    return None, None


_STRING_ENCODED_TYPES = {ProcessId, AttemptId}
