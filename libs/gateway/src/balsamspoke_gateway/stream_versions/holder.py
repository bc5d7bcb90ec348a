"""Memory of where streams have started, kept for other processes."""

from .lifetime import MAX_LIFETIME
from .messages import StreamOriginQuery, StreamOriginReply, StreamStarted
from .records import StreamKeys, StreamOrigin, StreamRecords

# Longest name of a service and of a software version that a message may state.
MAX_NAME_LENGTH = 256


class StreamOriginHolder:
    """Remember where streams have started, and tell those who ask.

    Parameters
    ----------
    clock : Clock
        Source of the times of the records.
    send : callable
        Sends a message to the process at an IP address.

    Attributes
    ----------
    lifetime : timedelta
        Time for which a stream is remembered.
    """

    def __init__(self, clock, send):
        self._clock = clock
        self._send = send
        self._records = StreamRecords()
        self.lifetime = MAX_LIFETIME

    def __len__(self):
        return len(self._records)

    def put(self, keys, origin):
        """Record the StreamOrigin of a stream by its StreamKeys."""
        now = self._clock.monotonic()
        self._records.expire(now - self.lifetime)
        self._records.put(keys, origin, now)

    def find(self, keys):
        """Return the StreamOrigin of a stream by its StreamKeys; None if not known."""
        return self._records.find(keys)

    def receive(self, ip, message):
        """Process a message of an entry process; return whether it is for a holder."""
        if isinstance(message, StreamStarted):
            self._record(message)
        elif isinstance(message, StreamOriginQuery):
            self._reply(ip, message)
        else:
            return False
        return True

    def _record(self, message):
        if max(len(message.service), len(message.version)) > MAX_NAME_LENGTH:
            return
        keys = StreamKeys(message.stream, message.content)
        self.put(keys, StreamOrigin(message.service, message.version))

    def _reply(self, ip, query):
        origin = self.find(StreamKeys(query.stream, query.content))
        if origin is None:
            reply = StreamOriginReply(query.number)
        else:
            reply = StreamOriginReply(query.number, origin.service, origin.version)
        self._send(ip, reply)
