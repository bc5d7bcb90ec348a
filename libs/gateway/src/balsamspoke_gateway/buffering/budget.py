"""Bound of the bytes that a process buffers for all its callers together."""

from dataclasses import dataclass
from datetime import timedelta

# Share of a VM's memory for buffers, half of it for bodies and half for answers; the
# rest is the program's own.
BUFFER_SHARE = 0.25
# Share for unfinished answers of replicas.
RECEIVE_SHARE = 0.125
BYTES_PER_MEGABYTE = 1_048_576
# Time after which a caller that has not caught up counts as slow. A long answer takes a
# moment to be sent to anyone.
MIN_STALL = timedelta(seconds=1)


@dataclass(slots=True)
class _Unsent:
    size: int
    since: timedelta


class BufferBudget:
    """Bound what is buffered for callers that send or read slowly.

    This handles many callers that take an answer, or send a body, a byte now and then:
    what is held for each of them is small, and for all of them it would fill the VM's
    memory. Bodies and unsent answers have half of the bound each, so that neither kind
    of caller costs the other anything. A body for which there is no room is refused.
    While unsent answers exceed their half, the connections to drop are those that have
    not caught up for longest, and for ``MIN_STALL`` at least.

    Parameters
    ----------
    limit_bytes : int or None
        The bound; None for none.
    """

    def __init__(self, limit_bytes=None):
        self._share = None if limit_bytes is None else limit_bytes // 2
        self._body_bytes = 0
        self._unsent_bytes = 0
        self._bodies = {}
        self._unsent = {}

    @property
    def held_bytes(self):
        """Bytes that are buffered on all connections."""
        return self._body_bytes + self._unsent_bytes

    def take_body(self, connection, size):
        """Return whether there is room for a piece of a body; count it if so.

        Parameters
        ----------
        connection : object
            Connection (hashable) that the piece comes from.
        size : int
            Bytes of the piece.
        """
        if self._share is not None and self._body_bytes + size > self._share:
            return False
        self._bodies[connection] = self._bodies.get(connection, 0) + size
        self._body_bytes += size
        return True

    def record_unsent(self, connection, size, now):
        """Count a number of bytes that a connection's caller does not keep up with.

        The time ``now`` is a timedelta of any clock that does not jump.
        """
        unsent = self._unsent.setdefault(connection, _Unsent(0, now))
        unsent.size += size
        self._unsent_bytes += size

    def release_body(self, connection):
        """Record that a request's body is needed no longer."""
        self._body_bytes -= self._bodies.pop(connection, 0)

    def release_unsent(self, connection):
        """Record that all bytes written to a connection were sent."""
        unsent = self._unsent.pop(connection, None)
        if unsent is not None:
            self._unsent_bytes -= unsent.size

    def choose_excess(self, now):
        """Return the connections to drop, so that the rest is within the bound."""
        chosen = []
        left = self._unsent_bytes
        # The oldest entry comes first: one that is released is added anew.
        for connection, unsent in self._unsent.items():
            is_within = self._share is None or left <= self._share
            if is_within or now - unsent.since < MIN_STALL:
                break
            chosen.append(connection)
            left -= unsent.size
        return chosen


def compute_buffer_limit(memory_megabytes):
    """Return the bytes for buffers on a VM; None if its memory is not stated (0)."""
    return _compute_limit(memory_megabytes, BUFFER_SHARE)


def compute_receive_limit(memory_megabytes):
    """Return the bytes for unfinished answers; None if the memory is not stated (0)."""
    return _compute_limit(memory_megabytes, RECEIVE_SHARE)


def _compute_limit(memory_megabytes, share):
    if memory_megabytes <= 0:
        return None
    return int(memory_megabytes * BYTES_PER_MEGABYTE * share)
