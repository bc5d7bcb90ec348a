"""Watch over one engine: whether it answers, and which run of it does."""

from collections import deque

from .events import EngineDown, EngineRestarted

MAX_PREVIOUS_BOOTS = 64


class EngineMonitor:
    """Ask an engine for its report again and again.

    Parameters
    ----------
    clock : Clock
        Time.
    engine : Engine
        The engine.
    settings : ReplicaSettings
        Intervals.
    listener : EngineReplica
        Its ``engine_seen``, ``engine_restarted`` and ``engine_down`` are called.
    on_event : callable
        Called with events.

    Notes
    -----
    Reports lag, so that one of an earlier run of the engine may come after one of
    a later run; it is dropped.
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
        """End the questions."""
        self._is_stopped = True
        if self._timer is not None:
            self._timer.cancel()

    def poll(self):
        """Ask now."""
        if self._is_polling or self._is_stopped:
            return
        self._is_polling = True
        if self._timer is not None:
            self._timer.cancel()
        self._engine.report().addCallbacks(self._handle_report, self._handle_failure)

    def mark_down(self, reason):
        """Note that the engine took no connection."""
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
