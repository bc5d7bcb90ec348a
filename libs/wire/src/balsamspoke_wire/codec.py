"""Batches of messages as bytes."""

from functools import lru_cache

from balsamspoke_types import messages
from balsamspoke_types.exceptions import IdentifierError
from balsamspoke_types.identifiers import AttemptId, ProcessId
from balsamspoke_types.messages import TokenChunk, TokensProduced
from google.protobuf.message import DecodeError

from .exceptions import WireError
from .fields import MessageConverter
from .generated import peer_pb2

PROTOCOL_VERSION = 1

# Streams at a time whose attempt ids are kept as text and read back.
REMEMBERED_ATTEMPTS = 8192

# Each token names its attempt, so that formatting and parsing must cost little.
_format_attempt = lru_cache(REMEMBERED_ATTEMPTS)(str)
_parse_attempt = lru_cache(REMEMBERED_ATTEMPTS)(AttemptId.parse)


class _Envelopes:
    """Know the place of each message class in an envelope."""

    def __init__(self):
        self._by_class = {}
        self._by_name = {}
        for field in peer_pb2.Envelope.DESCRIPTOR.fields:
            data_class = getattr(messages, field.message_type.name, None)
            if data_class is None:
                continue
            wire_class = field.message_type._concrete_class
            converter = MessageConverter(data_class, wire_class)
            self._by_class[data_class] = (field.name, converter)
            self._by_name[field.name] = converter

    def write(self, message, envelope):
        if type(message) is TokensProduced:
            _write_tokens(message, envelope.tokens_produced)
            return
        name, converter = self._by_class[type(message)]
        place = getattr(envelope, name)
        place.SetInParent()
        converter.write(message, place)

    def read(self, envelope):
        name = envelope.WhichOneof("message")
        if name == "tokens_produced":
            return _read_tokens(envelope.tokens_produced)
        if name == "hello":
            return ProcessId.parse(envelope.hello.process)
        converter = self._by_name.get(name)
        # A newer process may send a message that this one doesn't know.
        return converter.decode(getattr(envelope, name)) if converter else None


def _write_tokens(message, place):
    place.SetInParent()
    for chunk in message.chunks:
        place.chunks.add(
            attempt=_format_attempt(chunk.attempt),
            offset=chunk.offset,
            text=chunk.text,
            count=chunk.count,
        )


def _read_tokens(place):
    return TokensProduced(
        tuple(
            TokenChunk(
                _parse_attempt(chunk.attempt), chunk.offset, chunk.text, chunk.count
            )
            for chunk in place.chunks
        )
    )


_ENVELOPES = _Envelopes()


def encode_batch(batch):
    """Return the bytes of several messages.

    Parameters
    ----------
    batch : iterable of message data classes
        In the order in which they are to be handled.
    """
    encoded = peer_pb2.Batch()
    for message in batch:
        _ENVELOPES.write(message, encoded.envelopes.add())
    return encoded.SerializeToString()


def encode_hello(process):
    """Return the bytes of the batch that opens a connection from a ProcessId."""
    encoded = peer_pb2.Batch()
    hello = encoded.envelopes.add().hello
    hello.process = str(process)
    hello.protocol = PROTOCOL_VERSION
    return encoded.SerializeToString()


def decode_batch(data):
    """Return the messages of a batch; a ProcessId stands for a hello.

    Raises
    ------
    WireError
        If the bytes aren't a batch.
    """
    try:
        encoded = peer_pb2.Batch.FromString(data)
        decoded = [_ENVELOPES.read(envelope) for envelope in encoded.envelopes]
    except (DecodeError, IdentifierError, ValueError) as error:
        raise WireError(f"received bytes are not a batch: {error}") from error
    return [message for message in decoded if message is not None]
