"""Distinction of peers that read slowly from peers that are gone."""

import socket
import struct
from dataclasses import dataclass
from datetime import timedelta

from loguru import logger

from .keepalive import UNACKNOWLEDGED_TIMEOUT, set_unacknowledged_timeout

# Shorter than the kernel's time limit by enough to lift it before it is over.
CHECK_INTERVAL = timedelta(milliseconds=400)
# Kernels acknowledge but one of several window probes in half a second.
MIN_UNANSWERED_PROBES = 2
# A connection may be written to anew between two checks, without being told here.
EMPTY_CHECKS = 2

# Time in which the event loop hands on to the kernel what was written.
FLUSH_TIME = timedelta(milliseconds=20)

# The kernel's struct tcp_info: retransmits and probes; segments that are sent and not
# acknowledged; milliseconds since the last one was sent; and since the last
# acknowledgement; bytes that are not sent yet.
_TCP_INFO_BYTES = 148
_COUNTS = struct.Struct("=2xBB20xI")
_LAST_SENT = struct.Struct("=44xI")
_LAST_ACKNOWLEDGED = struct.Struct("=56xI")
_UNSENT = struct.Struct("=144xI")


@dataclass(frozen=True, slots=True)
class SendState:
    """What the kernel knows of the bytes written to a connection.

    Attributes
    ----------
    unacknowledged : int
        Segments that were sent and are not acknowledged.
    unsent : int
        Bytes that are not sent yet.
    retransmits : int
        Retransmissions since the last acknowledgement of data.
    probes : int
        Window probes since the last acknowledgement.
    since_sent : timedelta
        Time since the last segment was sent.
    since_acknowledged : timedelta
        Time since the last acknowledgement of any kind.
    """

    unacknowledged: int
    unsent: int
    retransmits: int
    probes: int
    since_sent: timedelta
    since_acknowledged: timedelta

    @property
    def is_empty(self):
        """Whether everything was sent and acknowledged."""
        return not self.unacknowledged and not self.unsent

    @property
    def is_window_closed(self):
        """Whether the peer has no room for what is left to send."""
        return self.unsent > 0 and not self.unacknowledged

    @property
    def is_answered(self):
        """Whether the peer has acknowledged the last segment or probe, or may yet."""
        if self.is_window_closed:
            return self.probes < MIN_UNANSWERED_PROBES
        is_recent = self.since_acknowledged < CHECK_INTERVAL
        return is_recent or self.since_acknowledged <= self.since_sent


def read_send_state(transport):
    """Return the SendState of a Twisted transport; None if it can't be told."""
    try:
        handle = transport.getHandle()
        info = handle.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
    except (AttributeError, OSError):
        # A closed transport has no socket.
        return None
    if len(info) < _TCP_INFO_BYTES:
        return None
    retransmits, probes, unacknowledged = _COUNTS.unpack_from(info)
    return SendState(
        unacknowledged,
        *_UNSENT.unpack_from(info),
        retransmits,
        probes,
        timedelta(milliseconds=_LAST_SENT.unpack_from(info)[0]),
        timedelta(milliseconds=_LAST_ACKNOWLEDGED.unpack_from(info)[0]),
    )


@dataclass(slots=True)
class _Watched:
    empty_checks: int = 0
    is_unlimited: bool = False
    unanswered_since: timedelta | None = None
    on_sent: object = None


class SendMonitor:
    """Watch connections until their peers have acknowledged what was written to them.

    This handles peers that pause within an answer or a request: with a closed window
    nothing can be sent, and the kernel's time limit counts that like silence, though
    the peer acknowledges each probe. So the limit is lifted as long as it does; a peer
    that doesn't is gone, and its connection is aborted here.

    Parameters
    ----------
    clock : Clock
        Schedules the checks.
    """

    def __init__(self, clock):
        self._clock = clock
        self._watched = {}

    def __len__(self):
        return len(self._watched)

    def add(self, connection):
        """Watch a connection that was written to.

        Parameters
        ----------
        connection : Protocol
            Connection (hashable) with a Twisted transport.
        """
        if connection in self._watched:
            self._watched[connection].empty_checks = 0
            return
        if not self._watched:
            self._schedule()
        self._watched[connection] = _Watched()

    def remove(self, connection):
        """Stop to watch a connection, as it is closed."""
        self._watched.pop(connection, None)

    def call_when_sent(self, connection, function):
        """Call a function once all bytes were sent: now, if none was written lately.

        It is not called if the connection is lost before.

        Parameters
        ----------
        connection : Protocol
            The connection.
        function : callable
            Called without arguments.
        """
        watched = self._watched.get(connection)
        if watched is None:
            function()
            return
        watched.on_sent = function
        # What was just written reaches the kernel in the event loop's next turn.
        self._clock.call_later(FLUSH_TIME, self._end_if_sent, connection)

    def _end_if_sent(self, connection):
        state = read_send_state(connection.transport)
        if connection in self._watched and (state is None or not state.unsent):
            self._end(connection)

    def _end(self, connection):
        watched = self._watched.pop(connection)
        if watched.on_sent is not None:
            watched.on_sent()

    def _schedule(self):
        self._clock.call_later(CHECK_INTERVAL, self._check_all)

    def _check_all(self):
        now = self._clock.monotonic()
        for connection, watched in list(self._watched.items()):
            if connection in self._watched:
                self._check(connection, watched, now)
        if self._watched:
            self._schedule()

    def _check(self, connection, watched, now):
        state = read_send_state(connection.transport)
        if state is None:
            self._end(connection)
        elif state.is_empty:
            self._record_empty(connection, watched)
        elif state.is_answered:
            watched.empty_checks = 0
            watched.unanswered_since = None
            if state.is_window_closed or state.retransmits:
                self._set_unlimited(connection, watched, True)
        else:
            self._record_unanswered(connection, watched, state, now)

    def _record_empty(self, connection, watched):
        watched.unanswered_since = None
        self._set_unlimited(connection, watched, False)
        watched.empty_checks += 1
        if watched.empty_checks >= EMPTY_CHECKS:
            self._end(connection)

    def _record_unanswered(self, connection, watched, state, now):
        if watched.unanswered_since is None:
            watched.unanswered_since = now
        is_gone = (
            now - watched.unanswered_since >= UNACKNOWLEDGED_TIMEOUT
            and state.since_acknowledged >= UNACKNOWLEDGED_TIMEOUT
        )
        if is_gone:
            self._abort(connection)

    def _abort(self, connection):
        self.remove(connection)
        peer = connection.transport.getPeer()
        logger.bind(event="PeerUnresponsive", ip=peer.host, port=peer.port).info("")
        connection.transport.abortConnection()

    @staticmethod
    def _set_unlimited(connection, watched, is_unlimited):
        if watched.is_unlimited != is_unlimited:
            watched.is_unlimited = is_unlimited
            limit = None if is_unlimited else UNACKNOWLEDGED_TIMEOUT
            set_unacknowledged_timeout(connection.transport.getHandle(), limit)
