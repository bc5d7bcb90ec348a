"""Base of tests with real sockets on loopback."""

import asyncio
import unittest

from balsamspoke_transport.reactor import PunctualReactor

GIVE_UP_SECONDS = 8.0


class RealReactorTests(unittest.TestCase):
    """Tests that run a reactor of their own."""

    def setUp(self):
        self.loop = asyncio.new_event_loop()
        self.addCleanup(self.loop.close)
        self.reactor = PunctualReactor(self.loop)
        self.reactor.addSystemEventTrigger(
            "before", "shutdown", self.reactor.disconnectAll
        )
        self.loop.call_later(GIVE_UP_SECONDS, self.reactor.crash)

    def run_until_done(self, coroutine):
        """Run the reactor until a coroutine ends; return its result."""
        task = self.loop.create_task(coroutine)
        task.add_done_callback(lambda _: self.reactor.crash())
        self.reactor.run(installSignalHandlers=False)
        return task.result()
