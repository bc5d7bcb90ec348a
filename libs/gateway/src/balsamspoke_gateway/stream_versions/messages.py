"""Messages between entry processes on streams; each one may be lost in transit.

Field names are part of the wire format.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """Notice that a stream has brought its first event.

    Attributes
    ----------
    stream : int
        Key of the stream, see ``make_stream_key``.
    service : str
        Name of the replica's service.
    version : str
        Software version of the replica.
    """

    stream: int
    service: str
    version: str


@dataclass(frozen=True, slots=True)
class StreamOriginQuery:
    """Question at which service and software version a stream has started.

    Attributes
    ----------
    number : int
        Number of the message, unique at the sender.
    stream : int
        Key of the stream.
    """

    number: int
    stream: int


@dataclass(frozen=True, slots=True)
class StreamOriginReply:
    """Reply to a StreamOriginQuery.

    Attributes
    ----------
    number : int
        Number of the StreamOriginQuery.
    service : str or None
        Name of the service; None if the sender doesn't know the stream.
    version : str or None
        Software version; None if the sender doesn't know the stream.
    """

    number: int
    service: str | None = None
    version: str | None = None
