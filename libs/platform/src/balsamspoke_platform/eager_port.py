"""TCP port whose connections write to the socket without waiting for the event loop.

Twisted leaves each write to the event loop, which registers the socket, polls, sends
and unregisters it. For many small writes, such as tokens, that costs more than
sending. Here only data that doesn't fit into the socket's buffer waits for the loop.
"""

from twisted.internet import tcp


class _EagerServer(tcp.Server):
    _is_registered = False
    _is_sending = False

    def startWriting(self):
        # Sending here while sending would recurse without limit when a producer writes
        # each time it is resumed.
        must_wait = self._is_registered or self._is_sending or self.disconnecting
        if must_wait or not self._tempDataBuffer:
            self._register()
            return
        # After an error the loop tries again and reports the error to the protocol.
        has_failed = self._send()
        if has_failed or self.dataBuffer or self._tempDataBuffer:
            self._register()

    def stopWriting(self):
        if self._is_registered:
            self._is_registered = False
            super().stopWriting()

    def _send(self):
        self._is_sending = True
        try:
            return self.doWrite() is not None
        finally:
            self._is_sending = False

    def _register(self):
        self._is_registered = True
        super().startWriting()


class EagerPort(tcp.Port):
    """A TCP port for servers that send many small writes."""

    transport = _EagerServer


def listen_eagerly(reactor, port, factory, backlog, interface):
    """Listen with an EagerPort; return the port.

    The parameters are those of ``reactor.listenTCP``.
    """
    listening = EagerPort(port, factory, backlog, interface, reactor)
    listening.startListening()
    return listening
