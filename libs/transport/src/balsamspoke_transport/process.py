"""Start and graceful stop of a process."""

import signal
from datetime import timedelta

from balsamspoke_types.timing import sleep
from loguru import logger
from twisted.internet.defer import Deferred

# The balancer asks once a second and needs two misses to stop sending new
# connections; after that idle connections are closed.
LEAVE_TIME = timedelta(seconds=3)
STEP = timedelta(milliseconds=100)
# Left between the end of the process and the kill.
KILL_MARGIN = timedelta(milliseconds=500)


class StopHandler:
    """A signal handler that stops a reactor at its first call only."""

    def __init__(self, reactor):
        self._reactor = reactor
        self._is_called = False

    def __call__(self, *_):
        """Stop the reactor."""
        if not self._is_called:
            self._is_called = True
            self._reactor.callFromThread(self._reactor.stop)


def run_reactor(reactor, clock, process):
    """Run a process until it is told to stop and has finished its requests."""

    def stop():
        return Deferred.fromCoroutine(drain(clock, process))

    reactor.addSystemEventTrigger("before", "shutdown", stop)
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(process.reload))
    # Once it runs, the reactor has installed its own handler, which fails if a
    # second signal comes while the first one's stop is under way.
    reactor.callWhenRunning(signal.signal, signal.SIGTERM, StopHandler(reactor))
    logger.bind(event="Started").info("")
    reactor.run()
    logger.bind(event="Ended").info("")


async def drain(clock, process):
    """Finish what is open, then close the idle connections.

    Callers go on sending on their open connections. Once the balancer has had the
    time to leave this process out, their new requests are refused as not run, so
    that what is open comes to an end before the kill.
    """
    began = clock.monotonic()
    logger.bind(event="Stopping", open_requests=process.open_requests).info("")
    process.begin_stop()
    last = process.stop_grace - KILL_MARGIN
    while (spent := clock.monotonic() - began) < last:
        if spent >= LEAVE_TIME or not process.has_callers:
            process.begin_refusal()
            process.close_idle()
            if process.open_requests == 0:
                # What was written last is still on its way out of the process.
                process.stop_listening()
                if process.open_connections == 0:
                    break
        await sleep(clock, STEP)
    logger.bind(event="Stopped", open_requests=process.open_requests).info("")
