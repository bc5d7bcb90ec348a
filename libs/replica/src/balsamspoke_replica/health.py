"""Health polling of one engine, with detection of restarts."""

from collections import deque

from .events import EngineDown, EngineRestarted

MAX_PREVIOUS_BOOTS = 64


class EngineMonitor:
    """Poll an engine for its report.

    Parameters
    ----------
    clock : Clock
        Monotonic time and timers.
    engine : Engine
        Engine to poll.
    settings : ReplicaSettings
        Poll intervals.
    listener : EngineReplica
        Its methods ``engine_reported``, ``engine_restarted`` and ``engine_down`` are
        called.
    on_event : callable
        Called with each EngineRestarted and EngineDown event.

    Attributes
    ----------
    is_up : bool
        Whether the engine is up, by the last report or failure.
    has_polled : bool
        Whether a poll has succeeded or failed yet.

    Notes
    -----
    Reports lag, so one from before a restart may arrive after one from after it;
    it is dropped, recognized by its boot id.
    """

    def __init__(self, clock, engine, settings, listener, on_event):
        self._clock = clock
        self._engine = engine
        self._settings = settings
        self._listener = listener
        self._on_event = on_event
        self._boot = None
        self._previous_boots = deque(maxlen=MAX_PREVIOUS_BOOTS)
        self._timer = None
        self._is_polling = False
        self._is_stopped = False
        self.is_up = False
        self.has_polled = False

    def stop(self):
        """Stop polling."""
        self._is_stopped = True
        if self._timer is not None:
            self._timer.cancel()

    def poll(self):
        """Poll now, unless a poll is in flight."""
        if self._is_polling or self._is_stopped:
            return
        self._is_polling = True
        if self._timer is not None:
            self._timer.cancel()
        self._engine.report().addCallbacks(self._handle_report, self._handle_failure)

    def mark_down(self, reason):
        """Mark the engine as down, since a poll failed or it was unreachable.

        Parameters
        ----------
        reason : str
            Text of the error, for the EngineDown event.
        """
        was_up, self.is_up = self.is_up, False
        if was_up:
            self._on_event(EngineDown(reason))
        self._listener.engine_down()

    def _handle_report(self, report):
        self._schedule_poll(self._settings.poll_interval)
        if self._is_stopped or report.boot in self._previous_boots:
            return
        self.is_up = True
        self.has_polled = True
        if self._boot is not None and report.boot != self._boot:
            self._previous_boots.append(self._boot)
            self._boot = report.boot
            self._on_event(EngineRestarted(report.boot))
            self._listener.engine_restarted()
        is_first = self._boot is None
        self._boot = report.boot
        self._listener.engine_reported(report, is_first)

    def _handle_failure(self, failure):
        self._schedule_poll(self._settings.poll_interval_down)
        if not self._is_stopped:
            self.has_polled = True
            self.mark_down(failure.getErrorMessage())

    def _schedule_poll(self, wait):
        self._is_polling = False
        if not self._is_stopped:
            self._timer = self._clock.call_later(wait, self.poll)
