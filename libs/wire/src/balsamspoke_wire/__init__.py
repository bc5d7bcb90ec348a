"""Encoding of the messages between processes as Protocol Buffers."""

from .codec import PROTOCOL_VERSION, decode_batch, encode_batch, encode_hello
from .exceptions import WireError

__all__ = [
    "PROTOCOL_VERSION",
    "WireError",
    "decode_batch",
    "encode_batch",
    "encode_hello",
]
