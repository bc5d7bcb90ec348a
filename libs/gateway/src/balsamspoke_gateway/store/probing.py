"""Probing of the platform's store, whose open connections may have gone silent."""

from datetime import timedelta

from balsamspoke_types.exceptions import StoreSilent, StoreUnavailable
from balsamspoke_types.timing import sleep

from ..exceptions import NO_DELAY
from .following import MAX_BACKOFF, MIN_BACKOFF


class StoreProber:
    """Ask the store for an answer whenever none has come for a time.

    This handles open connections that go silent for good while new ones work: a watch
    on one of them is like a watch without changes, and nothing tells for how long the
    store was away, if it was. An unanswered probe shows the silence at once, and the
    next one, on a new connection, that the store was there.

    Parameters
    ----------
    clock : Clock
        Source of delays.
    reachability : Reachability
        Tells the time since the last answer, and receives the outcomes of probes.
    probe : callable
        Asks the store for a small answer; returns an awaitable that fails with
        StoreUnavailable.
    interval : timedelta
        Time without any answer after which the store is asked for one.
    on_silence : callable
        Called without arguments when the store answers after a call that it did not
        answer on an open connection.
    """

    def __init__(self, clock, reachability, probe, interval, on_silence):
        self._clock = clock
        self._reachability = reachability
        self._probe = probe
        self._interval = interval
        self._on_silence = on_silence
        self._is_silent = False

    async def run(self):
        """Probe the store until cancelled."""
        backoff = MIN_BACKOFF
        while True:
            await self._wait_until_due()
            try:
                await self._probe()
            except StoreSilent as error:
                # The time that the call has taken is backoff enough.
                self._is_silent = True
                self._reachability.record_failure(error)
            except StoreUnavailable as error:
                self._reachability.record_failure(error)
                await sleep(self._clock, backoff)
                backoff = min(MAX_BACKOFF, 2 * backoff)
            else:
                backoff = MIN_BACKOFF
                self._record_answer()

    async def _wait_until_due(self):
        while not self._is_silent and (time_left := self._find_time_left()) > NO_DELAY:
            await sleep(self._clock, time_left)

    def _find_time_left(self):
        silence = self._reachability.silence
        if silence is None:
            return self._interval
        return self._interval - timedelta(seconds=silence)

    def _record_answer(self):
        self._reachability.record_answer()
        if self._is_silent:
            self._is_silent = False
            self._on_silence()
