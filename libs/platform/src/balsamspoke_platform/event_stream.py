"""An incremental parser of server-sent events."""

from .exceptions import EventStreamError

LONGEST_EVENT_BYTES = 1_000_000
_FIELD = b"data:"
_DONE = b"[DONE]"


class EventStreamParser:
    """Split bytes into the data of server-sent events.

    Only what the OpenAI-compatible format uses is understood: events of one
    ``data`` line each, comments and other fields passed over.

    Attributes
    ----------
    done : bool
        Whether the event ``[DONE]`` came; whatever comes after it is dropped.
    """

    def __init__(self):
        self.done = False
        self._rest = b""

    def feed(self, data):
        """Return the data of the events that are complete now, as list of bytes.

        Raises
        ------
        EventStreamError
            If an event is longer than the limit.
        """
        if self._rest:
            data = self._rest + data
        *lines, self._rest = data.split(b"\n")
        if len(self._rest) > LONGEST_EVENT_BYTES:
            raise EventStreamError(f"event over {LONGEST_EVENT_BYTES} bytes")
        found = []
        for line in lines:
            if self.done or not line.startswith(_FIELD):
                continue
            content = line[len(_FIELD) :].strip()
            if content == _DONE:
                self.done = True
            else:
                found.append(content)
        return found
