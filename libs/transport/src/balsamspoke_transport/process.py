"""Start and graceful stop of a process."""

import signal
from datetime import timedelta

from balsamspoke_types.timing import sleep
from loguru import logger
from twisted.internet.defer import Deferred

# The load balancer checks readiness once a second and sends no new connections after
# two failed checks. After this time requests are refused and idle connections closed.
# What is taken later than three seconds after the stop must not be cut by its end.
DEREGISTRATION_TIME = timedelta(seconds=2.8)
POLL_INTERVAL = timedelta(milliseconds=100)
# Time between the end of the drain and the kill of the process.
KILL_MARGIN = timedelta(milliseconds=600)
# Part of the margin for the answers to requests that are ended by the stop.
FLUSH_TIME = timedelta(milliseconds=100)


class StopHandler:
    """A signal handler that stops a reactor on the first signal only.

    Parameters
    ----------
    reactor : IReactorCore, IReactorFromThreads
        The reactor to stop.
    """

    def __init__(self, reactor):
        self._reactor = reactor
        self._is_called = False

    def __call__(self, *_):
        """Stop the reactor; do nothing on further calls."""
        if not self._is_called:
            self._is_called = True
            self._reactor.callFromThread(self._reactor.stop)


def run_reactor(reactor, clock, process):
    """Run a process until SIGTERM or another stop of the reactor; drain it first.

    SIGHUP reloads the process's settings.

    Parameters
    ----------
    reactor : IReactorCore, IReactorFromThreads
        Runs the process.
    clock : Clock
        Times the drain.
    process : object
        The entry or side process, which the caller has started. See ``drain``; it
        also has a method ``reload``.
    """

    def stop():
        return Deferred.fromCoroutine(drain(clock, process))

    reactor.addSystemEventTrigger("before", "shutdown", stop)
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(process.reload))
    # Set once the reactor runs, to replace the handler that the reactor installs at its
    # start, which fails on a second signal while the first stop is in progress.
    reactor.callWhenRunning(signal.signal, signal.SIGTERM, StopHandler(reactor))
    logger.bind(event="Started").info("")
    reactor.run()
    logger.bind(event="Ended").info("")


async def drain(clock, process):
    """Finish the open requests, then close the idle connections.

    Requests that are still open at the end of the time get an answer that is true.

    Callers continue to send requests on their open connections. Once the load balancer
    has had the time to remove this process, new requests are refused without running,
    so that the open ones finish before the process is killed.

    Parameters
    ----------
    clock : Clock
        Measures the time since the start of the drain.
    process : object
        The entry or side process. Its ``stop_grace`` is the timedelta from the
        request to stop to the kill.
    """
    start = clock.monotonic()
    logger.bind(event="Stopping", open_requests=process.open_requests).info("")
    process.begin_stop()
    time_limit = process.stop_grace - KILL_MARGIN
    while (elapsed := clock.monotonic() - start) < time_limit:
        if elapsed >= DEREGISTRATION_TIME or not process.has_callers:
            process.begin_refusal()
            process.close_idle()
            if process.open_requests == 0:
                # The last responses may still be in the send buffers.
                process.stop_listening()
                if process.open_connections == 0:
                    break
        await sleep(clock, POLL_INTERVAL)
    open_requests = process.open_requests
    if open_requests:
        process.end_requests()
        await sleep(clock, FLUSH_TIME)
    logger.bind(event="Stopped", open_requests=open_requests).info("")
