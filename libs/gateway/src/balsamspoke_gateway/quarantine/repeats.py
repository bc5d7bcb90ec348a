"""Evidence on which requests crash replicas each time that they are sent."""

from collections import OrderedDict
from dataclasses import dataclass, field
from datetime import timedelta

from .evidence import CERTAIN_CRASHES, EVIDENCE_LIFETIME, MIN_CRASHES, CrashCause

# Time for which a request that has crashed CERTAIN_CRASHES replicas is refused. Each
# further crash multiplies it: the request is tried ever more rarely.
REPEAT_QUARANTINE_TIME = timedelta(minutes=10)
TIME_FACTOR = 4
MAX_REPEAT_QUARANTINE_TIME = timedelta(days=1)
# Requests that are suspected at once; the one seen least recently is evicted first.
MAX_REQUESTS = 5_000


@dataclass(slots=True)
class _Suspicion:
    """Crashes of replicas at which a request ran."""

    recorded_at: timedelta
    crashes: set = field(default_factory=set)


class RepeatEvidence:
    """Count the crashes at which requests with the same content ran.

    This handles a request that crashes whichever replica runs it, and that its caller
    sends again, to any process. Its prompt parts may all be those of sound requests.
    """

    def __init__(self):
        self._suspicions = OrderedDict()

    def add(self, crash, fingerprints, now):
        """Record the requests that a replica had not answered when it crashed.

        Parameters
        ----------
        crash : tuple of str and int
            Id and start time of the replica.
        fingerprints : iterable of str
            The requests.
        now : timedelta
            Monotonic time.

        Returns
        -------
        list of CrashCause
            Those of the requests that ran at ``MIN_CRASHES`` or more.
        """
        self._expire(now)
        causes = []
        for fingerprint in fingerprints:
            suspicion = self._suspicions.setdefault(fingerprint, _Suspicion(now))
            self._suspicions.move_to_end(fingerprint)
            suspicion.recorded_at = now
            suspicion.crashes.add(crash)
            if len(suspicion.crashes) >= MIN_CRASHES:
                causes.append(_make_cause(fingerprint, len(suspicion.crashes)))
        return causes

    def is_suspected(self, fingerprint):
        """Return whether a request ran at a crash."""
        return fingerprint in self._suspicions

    def clear(self, parts):
        """Suspect those of the parts no longer that are fingerprints.

        Returns
        -------
        bool
            Whether one was suspected.
        """
        cleared = [
            self._suspicions.pop(each) for each in parts if each in self._suspicions
        ]
        return bool(cleared)

    def _expire(self, now):
        while len(self._suspicions) > MAX_REQUESTS:
            self._suspicions.popitem(last=False)
        while self._suspicions:
            fingerprint, suspicion = next(iter(self._suspicions.items()))
            if now - suspicion.recorded_at <= _find_lifetime(suspicion):
                break
            del self._suspicions[fingerprint]


def _make_cause(fingerprint, crashes):
    parts = frozenset((fingerprint,))
    if crashes < CERTAIN_CRASHES:
        return CrashCause(parts, False)
    duration = REPEAT_QUARANTINE_TIME * TIME_FACTOR ** min(
        10, crashes - CERTAIN_CRASHES
    )
    return CrashCause(parts, True, min(MAX_REPEAT_QUARANTINE_TIME, duration))


def _find_lifetime(suspicion):
    """Return how long a suspicion is kept after its last crash."""
    if len(suspicion.crashes) < CERTAIN_CRASHES:
        return EVIDENCE_LIFETIME
    return EVIDENCE_LIFETIME + MAX_REPEAT_QUARANTINE_TIME
