"""Messages on streams between processes; each one may be lost in transit.

Field names are part of the wire format.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """Notice that a stream has brought its first event.

    Attributes
    ----------
    stream : int
        Key of the request's id, see ``StreamKeys``; 0 if it has none.
    service : str
        Name of the replica's service.
    version : str
        Software version of the replica.
    content : int
        Key of the request's content; 0 if not known.
    """

    stream: int
    service: str
    version: str
    content: int = 0


@dataclass(frozen=True, slots=True)
class StreamOriginQuery:
    """Question at which service and software version a stream has started.

    Attributes
    ----------
    number : int
        Number of the message, unique at the sender.
    stream : int
        Key of the request's id; 0 if the caller names none.
    content : int
        Key of the request's content; 0 if not known.
    """

    number: int
    stream: int
    content: int = 0


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
