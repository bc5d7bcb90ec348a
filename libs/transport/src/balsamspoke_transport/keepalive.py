"""Detection of dead peers by the kernel."""

import socket
from datetime import timedelta

# The kernel closes a connection whose sent data stays unacknowledged this long: the
# peer is cut off or without power. Well above the time to retransmit a lost packet.
# It counts a closed window too, whatever the peer acknowledges: see ``SendMonitor``.
UNACKNOWLEDGED_TIMEOUT = timedelta(milliseconds=1500)
# TCP keep-alive probes on a silent connection detect a dead peer.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2


def enable_keepalive(transport):
    """Make the kernel close a connection whose peer stops responding.

    Sets TCP keep-alive and the user timeout; also disables Nagle's algorithm.
    """
    transport.setTcpNoDelay(True)
    transport.setTcpKeepAlive(True)
    handle = transport.getHandle()
    options = (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    )
    for option, value in options:
        handle.setsockopt(socket.IPPROTO_TCP, option, value)
    set_unacknowledged_timeout(handle, UNACKNOWLEDGED_TIMEOUT)


def set_unacknowledged_timeout(handle, timeout):
    """Set how long the kernel waits for the acknowledgement of sent data.

    Parameters
    ----------
    handle : socket.socket
        Socket of the connection.
    timeout : timedelta or None
        The time; None for the kernel's own limit of many minutes.
    """
    milliseconds = 0 if timeout is None else int(timeout.total_seconds() * 1000)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)
