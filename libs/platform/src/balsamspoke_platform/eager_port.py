"""A listening port whose connections send at once what fits into the socket.

Twisted hands each write to the event loop: the loop registers the socket, polls,
sends and unregisters it. For many small writes, such as tokens, that costs more
than sending. Here only what the socket doesn't take waits for the loop.
"""

from twisted.internet import tcp


class _EagerServer(tcp.Server):
    _is_registered = False
    _is_sending = False

    def startWriting(self):
        # A producer that writes while this sends would nest without end.
        must_wait = self._is_registered or self._is_sending or self.disconnecting
        if must_wait or not self._tempDataBuffer:
            self._register()
            return
        # On an error the loop tries again, and tells the protocol of it.
        failed = self._send()
        if failed or self.dataBuffer or self._tempDataBuffer:
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
    """A TCP port for servers that stream many small pieces."""

    transport = _EagerServer


def listen_eagerly(reactor, port, factory, backlog, interface):
    """Listen as ``reactor.listenTCP`` does, with an EagerPort; return it."""
    listening = EagerPort(port, factory, backlog, interface, reactor)
    listening.startListening()
    return listening
