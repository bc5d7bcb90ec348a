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


@dataclass(frozen=True, slots=True)
class StreamKeys:
    """What a stream is recognised by; a key of 0 stands for none.

    Attributes
    ----------
    request : int
        Key of the id of the request that brought its first event.
    content : int
        Key of the content of that request, which a caller sends again to resume it.
    """

    request: int
    content: int


def make_stream_keys(team, request_id, fingerprint):
    """Return the StreamKeys of the stream of a team's request.

    The team is part of them, so that a caller can't change what is known of the streams
    of others.

    Parameters
    ----------
    team : str
        Name of the caller's team; empty for none.
    request_id : str or None
        Id of the request that brought the first event; None if not known.
    fingerprint : str
        Fingerprint of the request, which includes the team.
    """
    request = _hash(f"{team}/{request_id}") if request_id else 0
    return StreamKeys(request, _hash(fingerprint))


def _hash(text):
    return xxhash.xxh3_64_intdigest(text.encode())


class StreamRecords:
    """StreamOrigins by the keys of the streams, each kept for a time.

    Where streams with one key have started at several origins, none of them is known.
    """

    def __init__(self):
        self._by_request = OrderedDict()
        self._by_content = OrderedDict()

    def __len__(self):
        return max(len(self._by_request), len(self._by_content))

    def put(self, keys, origin, now):
        """Record the StreamOrigin of a stream by its StreamKeys at a monotonic time."""
        _put(self._by_request, keys.request, origin, now)
        _put(self._by_content, keys.content, origin, now)

    def find(self, keys):
        """Return the StreamOrigin of a stream by its StreamKeys; None if not known.

        The content is compared only where the caller names no request.
        """
        if keys.request:
            origin, _ = self._by_request.get(keys.request, (None, None))
        else:
            origin, _ = self._by_content.get(keys.content, (None, None))
        return origin

    def expire(self, cutoff):
        """Forget the streams recorded before a monotonic time."""
        _expire(self._by_request, cutoff)
        _expire(self._by_content, cutoff)


def _put(records, key, origin, now):
    if not key:
        return
    known, _ = records.get(key, (origin, now))
    records[key] = (origin if known == origin else None, now)
    records.move_to_end(key)
    if len(records) > MAX_RECORDS:
        records.popitem(last=False)


def _expire(records, cutoff):
    while records:
        _, recorded_at = next(iter(records.values()))
        if recorded_at >= cutoff:
            return
        records.popitem(last=False)
