"""Splitting of event streams into whole events, so that a stream can be resumed."""

import re
from dataclasses import dataclass

from ..event_ids import EventId, parse_event_id

# An empty line, after lines that end with LF or with CR LF.
_EVENT_END = re.compile(rb"\n\r?\n")
_MAX_EVENT_END_BYTES = 3
_ID_FIELD = b"id:"
# Longest event. One that doesn't end must not fill the memory.
MAX_EVENT_BYTES = 1_048_576


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """A whole event of a stream.

    Attributes
    ----------
    data : bytes
        The event including the empty line that ends it.
    id : EventId or None
        The event's id field; None if it has none.
    """

    data: bytes
    id: EventId | None


class EventSplitter:
    """Split the bytes of a stream into whole events.

    Only whole events are forwarded to the caller: a replica may stop in the middle of
    one, and the replica that resumes the stream starts with a whole event.
    """

    def __init__(self):
        self._buffer = bytearray()
        # Bytes at the beginning of the buffer in which no event ends.
        self._searched = 0

    @property
    def has_partial_event(self):
        """Whether the bytes so far end in the middle of an event."""
        return bool(self._buffer)

    @property
    def held_bytes(self):
        """Number of bytes that are held, as no whole event has taken them yet."""
        return len(self._buffer)

    @property
    def is_too_long(self):
        """Whether the event at the end of the bytes exceeds ``MAX_EVENT_BYTES``."""
        return len(self._buffer) > MAX_EVENT_BYTES

    def clear(self):
        """Forget the bytes of the partial event."""
        self._buffer.clear()
        self._searched = 0

    def add(self, data):
        """Add bytes."""
        self._buffer += data

    def take(self, max_count):
        """Return a list of the next StreamEvents that are whole, up to a number."""
        events = []
        while len(events) < max_count and (event := self._take_next()) is not None:
            events.append(event)
        return events

    def _take_next(self):
        end = _EVENT_END.search(self._buffer, self._searched)
        if end is None:
            self._searched = max(0, len(self._buffer) - _MAX_EVENT_END_BYTES + 1)
            return None
        size = end.end()
        block = bytes(self._buffer[:size])
        del self._buffer[:size]
        self._searched = 0
        return _parse_event(block)


def _parse_event(block):
    event_id = None
    for line in block.split(b"\n"):
        if line.startswith(_ID_FIELD):
            event_id = parse_event_id(line[len(_ID_FIELD) :])
    return StreamEvent(block, event_id)
