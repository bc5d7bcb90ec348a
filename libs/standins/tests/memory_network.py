"""In-memory HTTP between clients and stand-ins, with a clock that tests advance."""

from balsamspoke_platform import HttpClient
from twisted.internet.defer import fail, succeed
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.interfaces import IStreamClientEndpoint
from twisted.internet.task import Clock
from twisted.test import iosim
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.iweb import IAgentEndpointFactory
from twisted.web.server import Site
from zope.interface import implementer

STEP_SECONDS = 0.002
MAX_EXCHANGES = 1000


class _Transport(iosim.FakeTransport):
    """Transport that buffers received data while its protocol has paused it."""

    def __init__(self, protocol, isServer):
        super().__init__(protocol, isServer)
        self._is_paused = False
        self._buffer = b""

    def pauseProducing(self):
        self._is_paused = True

    def resumeProducing(self):
        self._is_paused = False
        buffered, self._buffer = self._buffer, b""
        if buffered:
            super().bufferReceived(buffered)

    def bufferReceived(self, data):
        if self._is_paused:
            self._buffer += data
        else:
            super().bufferReceived(data)

    def abortConnection(self):
        self.loseConnection()


@implementer(IStreamClientEndpoint)
class _MemoryEndpoint:
    def __init__(self, network, port):
        self._network = network
        self._port = port

    def connect(self, factory):
        site = self._network.sites.get(self._port)
        if site is None:
            return fail(ConnectionRefusedError())
        client, server = factory.buildProtocol(None), site.buildProtocol(None)
        transports = (
            _Transport(server, isServer=True),
            _Transport(client, isServer=False),
        )
        pump = iosim.connect(server, transports[0], client, transports[1])
        self._network.pumps.append(pump)
        return succeed(client)


@implementer(IAgentEndpointFactory)
class MemoryNetwork:
    """In-memory network of sites by port, and of connections to them."""

    def __init__(self):
        self.clock = Clock()
        self.sites = {}
        self.pumps = []
        pool = HTTPConnectionPool(self.clock, persistent=True)
        pool.retryAutomatically = False
        self.agent = Agent.usingEndpointFactory(self.clock, self, pool)

    def endpointForURI(self, uri):
        return _MemoryEndpoint(self, uri.port)

    def add(self, port, resource):
        """Serve a resource on a port; return an HttpClient for it."""
        self.sites[port] = Site(resource, reactor=self.clock)
        return HttpClient(self.agent, self.clock, f"http://127.0.0.1:{port}")

    def run(self, seconds=0.0):
        """Deliver all pending bytes while the clock advances by ``seconds``."""
        end = self.clock.seconds() + seconds
        self._pump()
        while self.clock.seconds() < end:
            self.clock.advance(STEP_SECONDS)
            self._pump()

    def get(self, deferred, seconds=1.0):
        """Run until a Deferred fires; return its result or raise its failure."""
        results = []
        deferred.addBoth(results.append)
        end = self.clock.seconds() + seconds
        self._pump()
        while not results and self.clock.seconds() < end:
            self.run(STEP_SECONDS)
        if not results:
            raise AssertionError("no result in time")
        if hasattr(results[0], "raiseException"):
            results[0].raiseException()
        return results[0]

    def _pump(self):
        for pump in list(self.pumps):
            for _ in range(MAX_EXCHANGES):
                if not pump.pump():
                    break
            else:
                raise AssertionError("the connection doesn't become idle")
