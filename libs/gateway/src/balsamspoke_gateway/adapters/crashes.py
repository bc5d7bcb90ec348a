"""Adapters whose load crashes the replica."""

from dataclasses import dataclass
from datetime import timedelta

# Restarts of the replica, each while the adapter was being loaded, after which it is
# not loaded for a time; each further one multiplies that time.
MIN_RESTARTS = 2
FIRST_DELAY = timedelta(seconds=30)
DELAY_FACTOR = 4
MAX_DELAY = timedelta(days=1)


@dataclass(slots=True)
class _Suspicion:
    version: int
    restarts: int
    delayed_until: timedelta


class AdapterCrashes:
    """Tell which adapters a replica should not load, as they may crash it.

    Without it, an adapter that crashes its replica would be loaded again after each
    restart, for as long as requests want it. One restart makes all adapters that were
    being loaded suspects. They are then loaded one at a time, so that the next restart
    shows which one is the cause; one that is loaded is cleared.
    """

    def __init__(self):
        self._born = None
        self._loading = {}
        self._suspicions = {}

    def record_order(self, name, version):
        """Record that the replica was ordered to load an adapter.

        Parameters
        ----------
        name : str
            Name of the adapter, as ``model/name``.
        version : int
            Version of the adapter; 0 for the newest.
        """
        self._loading[name] = version

    def record_report(self, report, now):
        """Record an EngineReport at a monotonic time."""
        if self._born is not None and report.born != self._born:
            for name, version in self._loading.items():
                self._add_restart(name, version, now)
        self._born = report.born
        self._loading = dict(report.pending)
        for model, adapters in report.models.items():
            for name, version in adapters.items():
                self._clear(f"{model}/{name}", version)

    def is_suspect(self, wanted):
        """Return whether a WantedAdapter was being loaded at a restart."""
        return self._find(wanted) is not None

    def is_delayed(self, wanted, now):
        """Return whether a WantedAdapter is not to be loaded at a monotonic time."""
        suspicion = self._find(wanted)
        return suspicion is not None and now < suspicion.delayed_until

    def list_delayed(self, now):
        """Return the names (``model/name``) of the adapters that are not loaded."""
        return tuple(
            name
            for name, suspicion in self._suspicions.items()
            if now < suspicion.delayed_until
        )

    def has_suspect(self, names):
        """Return whether one of several adapters (``model/name``) is a suspect."""
        return any(name in self._suspicions for name in names)

    def _find(self, wanted):
        suspicion = self._suspicions.get(f"{wanted.model}/{wanted.adapter}")
        if suspicion is None or wanted.version > suspicion.version > 0:
            # A newer version may be sound.
            return None
        return suspicion

    def _add_restart(self, name, version, now):
        suspicion = self._suspicions.get(name)
        if suspicion is None or version > suspicion.version > 0:
            self._suspicions[name] = _Suspicion(version, 1, now)
            return
        suspicion.restarts += 1
        if suspicion.restarts >= MIN_RESTARTS:
            exponent = min(10, suspicion.restarts - MIN_RESTARTS)
            delay = min(MAX_DELAY, FIRST_DELAY * DELAY_FACTOR**exponent)
            suspicion.delayed_until = now + delay

    def _clear(self, name, version):
        suspicion = self._suspicions.get(name)
        if suspicion is not None and version >= suspicion.version:
            del self._suspicions[name]
