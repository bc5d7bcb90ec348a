"""Requests and answer heads as they stand on a connection."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Endpoint:
    """Who answers at an address; the name differs between servers there."""

    ip: str
    port: int
    name: str = ""


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request to send.

    Attributes
    ----------
    method, target : bytes
        The request line.
    headers : tuple of tuple of bytes
        With the host, without the body's length.
    body : bytes
        Whole.
    id : bytes
        What the answer must echo; empty if answers carry no id.
    is_idempotent : bool
        If not, it is never sent on a connection that may be about to close.
    """

    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes = b""
    id: bytes = b""
    is_idempotent: bool = True


@dataclass(frozen=True, slots=True)
class HttpHead:
    """The head of an answer; header names are in lower case."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]

    def find(self, name):
        """Return the first value of a header, or None."""
        for found, value in self.headers:
            if found == name:
                return value
        return None
