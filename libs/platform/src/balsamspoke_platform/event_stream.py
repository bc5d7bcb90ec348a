"""Incremental parser of server-sent events."""

from .exceptions import EventStreamError

MAX_EVENT_BYTES = 1_000_000
_DATA_FIELD = b"data:"
_END_MARKER = b"[DONE]"


class EventStreamParser:
    """Extract the data of server-sent events from a byte stream.

    Only the subset used by OpenAI-compatible servers is supported: each event has one
    ``data`` line. Comments and other fields are ignored.

    Attributes
    ----------
    done : bool
        Whether the event ``[DONE]`` was received; later events are ignored.
    """

    def __init__(self):
        self.done = False
        self._partial_line = b""

    def feed(self, data):
        """Parse the next bytes of the stream.

        Parameters
        ----------
        data : bytes
            Bytes that follow those of the previous call.

        Returns
        -------
        list of bytes
            The data of each event that is completed by these bytes.

        Raises
        ------
        EventStreamError
            If an incomplete line is longer than ``MAX_EVENT_BYTES``.
        """
        if self._partial_line:
            data = self._partial_line + data
        *lines, self._partial_line = data.split(b"\n")
        if len(self._partial_line) > MAX_EVENT_BYTES:
            raise EventStreamError(f"event over {MAX_EVENT_BYTES} bytes")
        events = []
        for line in lines:
            if self.done or not line.startswith(_DATA_FIELD):
                continue
            content = line[len(_DATA_FIELD) :].strip()
            if content == _END_MARKER:
                self.done = True
            else:
                events.append(content)
        return events
