import asyncio
import subprocess
import sys
import time
import unittest
from dataclasses import dataclass
from datetime import timedelta

from balsamspoke_gateway.configuration import CallerLimits
from balsamspoke_transport.callers import CallerFactory
from balsamspoke_transport.clock import ReactorClock
from balsamspoke_transport.process import drain
from balsamspoke_transport.reactor import PunctualReactor
from balsamspoke_types.timing import sleep
from twisted.internet.defer import Deferred

CALLER_PROCESSES = 3
# In each of them.
CALLERS = 40
CALLERS_PROGRAM = ("-m", "balsamspoke_standins.busy_callers")
LIMITS = CallerLimits(16_384, 4_194_304, timedelta(seconds=3), timedelta(seconds=15))
# Of the process on each request.
WORK_SECONDS = 0.0005
# What callers are promised: an answer half a second after the route's timeout.
MAX_LATENESS = timedelta(milliseconds=500)
PROBE_INTERVAL = timedelta(milliseconds=100)
PROBES = 30
STOP_GRACE = timedelta(seconds=5)
GIVE_UP_SECONDS = 12.0


@dataclass(frozen=True)
class Response:
    status: int = 503
    headers: tuple = ()
    body: bytes = b"{}"


class AnsweringProcess:
    """A process that answers each request at once."""

    stop_grace = STOP_GRACE
    has_callers = True
    open_requests = 0

    def __init__(self, reactor):
        self._factory = CallerFactory(
            reactor,
            lambda: LIMITS,
            self.answer,
            lambda error: Response(),
            lambda error: Response(502),
            lambda: False,
        )
        self.port = reactor.listenTCP(0, self._factory, interface="127.0.0.1")

    @property
    def open_connections(self):
        return len(self._factory.channels)

    def answer(self, exchange):
        time.sleep(WORK_SECONDS)
        exchange.refuse(None)

    def begin_stop(self):
        pass

    def begin_refusal(self):
        pass

    def end_requests(self):
        pass

    def stop_listening(self):
        self.port.stopListening()

    def close_idle(self):
        self._factory.close_idle()


class BusyProcessTests(unittest.TestCase):
    """A process with as many requests on kept connections as it can answer."""

    def setUp(self):
        loop = asyncio.new_event_loop()
        self.addCleanup(loop.close)
        self.reactor = PunctualReactor(loop)
        self.clock = ReactorClock(self.reactor)
        self.process = AnsweringProcess(self.reactor)
        self.reactor.addSystemEventTrigger(
            "before", "shutdown", self.reactor.disconnectAll
        )
        # No timer of the loop, which a fault could hold up, ends a failing test.
        loop.call_later(GIVE_UP_SECONDS, self.reactor.crash)

    def add_callers(self):
        address = self.process.port.getHost()
        target = [address.host, str(address.port), str(CALLERS)]
        for _ in range(CALLER_PROCESSES):
            callers = subprocess.Popen([sys.executable, *CALLERS_PROGRAM, *target])
            self.addCleanup(callers.wait)
            self.addCleanup(callers.kill)

    def run_until(self, deferred):
        """Run the reactor until a Deferred fires; return whether it has."""
        ended = []
        deferred.addCallback(ended.append)
        deferred.addCallback(lambda _: self.reactor.crash())
        self.reactor.run(installSignalHandlers=False)
        return bool(ended)

    # A timer stood still while each turn of the loop moved another one sooner.
    def test_timers_run_in_time_while_requests_move_others(self):
        self.add_callers()
        latenesses = []
        probing = Deferred.fromCoroutine(self.measure(latenesses))
        self.assertTrue(self.run_until(probing), "a timer never ran")
        self.assertLess(max(latenesses), MAX_LATENESS)

    async def measure(self, latenesses):
        for _ in range(PROBES):
            due_at = self.clock.monotonic() + PROBE_INTERVAL
            await sleep(self.clock, PROBE_INTERVAL)
            latenesses.append(self.clock.monotonic() - due_at)

    # A stopping process never ended while its callers came back at once.
    def test_a_drain_ends_in_time_while_callers_come_back_at_once(self):
        self.add_callers()
        began_at = self.clock.monotonic()
        drained = Deferred.fromCoroutine(drain(self.clock, self.process))
        self.assertTrue(self.run_until(drained), "the drain never ended")
        self.assertLess(self.clock.monotonic() - began_at, STOP_GRACE)

    # Timers stood still after the time of day was set back.
    def test_timers_do_not_follow_the_time_of_day(self):
        now = time.clock_gettime(time.CLOCK_BOOTTIME)
        self.assertAlmostEqual(self.reactor.seconds(), now, places=1)
        call = self.reactor.callLater(5, lambda: None)
        self.assertAlmostEqual(call.getTime(), now + 5, places=1)


if __name__ == "__main__":
    unittest.main()
