"""Records of the streams that have started lately."""

from collections import OrderedDict
from dataclasses import dataclass

import xxhash

# Streams that are remembered at most; the oldest is forgotten first.
MAX_RECORDS = 50_000


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Where a stream has started.

    Attributes
    ----------
    service : str
        Name of the replica's service.
    version : str
        Software version of the replica.
    """

    service: str
    version: str


def make_stream_key(team, request_id):
    """Return the key (int) of the stream of a team's request; None without an id.

    The team is part of it, so that a caller can't change what is known of the streams
    of others.
    """
    if not request_id:
        return None
    return xxhash.xxh3_64_intdigest(f"{team}/{request_id}".encode())


class StreamRecords:
    """StreamOrigins by the key of the stream, each kept for a time."""

    def __init__(self):
        self._records = OrderedDict()

    def __len__(self):
        return len(self._records)

    def put(self, key, origin, now):
        """Record the StreamOrigin of a stream at a monotonic time."""
        self._records[key] = (origin, now)
        self._records.move_to_end(key)
        if len(self._records) > MAX_RECORDS:
            self._records.popitem(last=False)

    def find(self, key):
        """Return the StreamOrigin of a stream; None if not known."""
        origin, _ = self._records.get(key, (None, None))
        return origin

    def expire(self, cutoff):
        """Forget the streams recorded before a monotonic time."""
        while self._records:
            _, recorded_at = next(iter(self._records.values()))
            if recorded_at >= cutoff:
                return
            self._records.popitem(last=False)
