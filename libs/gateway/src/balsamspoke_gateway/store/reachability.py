"""Reachability of the dependencies of a process."""

from balsamspoke_types.exceptions import StoreCutOff

from ..observing import DependencyLost, DependencyRegained

STORE = "store"
"""Name of the platform's store in events."""


class Reachability:
    """Track whether a dependency answers, and report when it is lost and regained.

    Parameters
    ----------
    name : str
        Name of the dependency in events.
    clock : Clock
        Source of the times of answers.
    observer : Observer
        Receives DependencyLost and DependencyRegained.
    on_recovery : callable or None
        Called without arguments when the dependency answers again.

    Attributes
    ----------
    last_outage : float or None
        Seconds for which it may have been away before it last recovered; None if it
        never did, or if it had never answered before.
    """

    def __init__(self, name, clock, observer, on_recovery=None):
        self._name = name
        self._clock = clock
        self._observer = observer
        self._on_recovery = on_recovery
        self._is_reachable = True
        self._last_answer = None
        self._lost_at = None
        self.last_outage = None

    @property
    def silence(self):
        """Seconds since the last answer; None if there was none yet."""
        if self._last_answer is None:
            return None
        return (self._clock.monotonic() - self._last_answer).total_seconds()

    def record_answer(self):
        """Record that the dependency has answered."""
        now = self._last_answer = self._clock.monotonic()
        if self._is_reachable:
            return
        self._is_reachable = True
        lost_at, self._lost_at = self._lost_at, None
        self.last_outage = None if lost_at is None else (now - lost_at).total_seconds()
        if self._on_recovery is not None:
            self._on_recovery()
        self._observer.observe(DependencyRegained(self._name))

    def record_failure(self, error):
        """Record that a call has failed with an exception.

        A dependency that closes a connection in good order was there until then.
        """
        if self._is_reachable:
            self._is_reachable = False
            is_cut_off = isinstance(error, StoreCutOff)
            self._lost_at = self._clock.monotonic() if is_cut_off else self._last_answer
            self._observer.observe(DependencyLost(self._name, str(error)))
