"""HTTP between clients and stand-ins in memory, under a clock that tests move."""

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
MOST_EXCHANGES = 1000


class _Transport(iosim.FakeTransport):
    """A transport that holds what comes while its reader has paused it."""

    def __init__(self, protocol, isServer):
        super().__init__(protocol, isServer)
        self._paused = False
        self._held = b""

    def pauseProducing(self):
        self._paused = True

    def resumeProducing(self):
        self._paused = False
        held, self._held = self._held, b""
        if held:
            super().bufferReceived(held)

    def bufferReceived(self, data):
        if self._paused:
            self._held += data
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
    """Sites by port, and connections to them."""

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
        """Serve a resource; return an HttpCaller of it."""
        self.sites[port] = Site(resource, reactor=self.clock)
        return HttpClient(self.agent, self.clock, f"http://127.0.0.1:{port}")

    def run(self, seconds=0.0):
        """Carry all bytes, and let time pass."""
        end = self.clock.seconds() + seconds
        self._pump()
        while self.clock.seconds() < end:
            self.clock.advance(STEP_SECONDS)
            self._pump()

    def get(self, deferred, seconds=1.0):
        """Return the result of a Deferred, or raise its failure."""
        found = []
        deferred.addBoth(found.append)
        end = self.clock.seconds() + seconds
        self._pump()
        while not found and self.clock.seconds() < end:
            self.run(STEP_SECONDS)
        if not found:
            raise AssertionError("no result in time")
        if hasattr(found[0], "raiseException"):
            found[0].raiseException()
        return found[0]

    def _pump(self):
        for pump in list(self.pumps):
            for _ in range(MOST_EXCHANGES):
                if not pump.pump():
                    break
            else:
                raise AssertionError("the two ends never stop talking")
