"""Encoding and decoding of message batches."""

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

# Each token chunk carries its attempt id, so formatted and parsed ids are cached.
# The size is the number of concurrent streams whose ids stay in the cache.
ATTEMPT_ID_CACHE_SIZE = 8192

_format_attempt = lru_cache(ATTEMPT_ID_CACHE_SIZE)(str)
_parse_attempt = lru_cache(ATTEMPT_ID_CACHE_SIZE)(AttemptId.parse)


class _EnvelopeCodec:
    """Map each message class to its field of the protocol's Envelope."""

    def __init__(self):
        self._fields_by_class = {}
        self._converters_by_name = {}
        for field in peer_pb2.Envelope.DESCRIPTOR.fields:
            data_class = getattr(messages, field.message_type.name, None)
            if data_class is None:
                continue
            wire_class = field.message_type._concrete_class
            converter = MessageConverter(data_class, wire_class)
            self._fields_by_class[data_class] = (field.name, converter)
            self._converters_by_name[field.name] = converter

    def encode_envelope(self, message, envelope):
        if type(message) is TokensProduced:
            _encode_tokens(message, envelope.tokens_produced)
            return
        name, converter = self._fields_by_class[type(message)]
        encoded = getattr(envelope, name)
        encoded.SetInParent()
        converter.encode_into(message, encoded)

    def decode_envelope(self, envelope):
        name = envelope.WhichOneof("message")
        if name == "tokens_produced":
            return _decode_tokens(envelope.tokens_produced)
        if name == "hello":
            return ProcessId.parse(envelope.hello.process)
        converter = self._converters_by_name.get(name)
        # A process of a later version may send message types unknown to this one.
        return converter.decode(getattr(envelope, name)) if converter else None


def _encode_tokens(message, encoded):
    encoded.SetInParent()
    for chunk in message.chunks:
        encoded.chunks.add(
            attempt=_format_attempt(chunk.attempt),
            offset=chunk.offset,
            text=chunk.text,
            count=chunk.count,
        )


def _decode_tokens(encoded):
    return TokensProduced(
        tuple(
            TokenChunk(
                _parse_attempt(chunk.attempt), chunk.offset, chunk.text, chunk.count
            )
            for chunk in encoded.chunks
        )
    )


_ENVELOPE_CODEC = _EnvelopeCodec()


def encode_batch(batch):
    """Return a batch of messages encoded as bytes.

    Parameters
    ----------
    batch : iterable of message
        Instances of the data classes in ``balsamspoke_types.messages``, in the order
        in which the receiver handles them.
    """
    encoded = peer_pb2.Batch()
    for message in batch:
        _ENVELOPE_CODEC.encode_envelope(message, encoded.envelopes.add())
    return encoded.SerializeToString()


def encode_hello(process):
    """Return the first batch of a connection, which identifies the sender.

    Parameters
    ----------
    process : ProcessId
        Id of the sender.
    """
    encoded = peer_pb2.Batch()
    hello = encoded.envelopes.add().hello
    hello.process = str(process)
    hello.protocol = PROTOCOL_VERSION
    return encoded.SerializeToString()


def decode_batch(data):
    """Return the messages of an encoded batch.

    A Hello is returned as the sender's ProcessId. Messages of unknown types are
    skipped.

    Raises
    ------
    WireError
        If the bytes are not an encoded batch.
    """
    try:
        encoded = peer_pb2.Batch.FromString(data)
        decoded = [
            _ENVELOPE_CODEC.decode_envelope(envelope) for envelope in encoded.envelopes
        ]
    except (DecodeError, IdentifierError, ValueError) as error:
        raise WireError(f"received bytes are not a batch: {error}") from error
    return [message for message in decoded if message is not None]
