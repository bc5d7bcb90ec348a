"""Usual durations of the same work at any replica of a service."""

import math
from collections import OrderedDict
from dataclasses import dataclass

# Samples after which a usual duration is compared with; fewer may all come from one
# replica or one rare request.
MIN_SAMPLES = 8
# Samples over which it is averaged.
MAX_SAMPLES = 200
# Kinds of work remembered; the least recently seen is forgotten first.
MAX_KINDS = 1_000


@dataclass(slots=True)
class _Usual:
    mean: float = 0.0
    samples: int = 0


class UsualDurations:
    """Track the usual duration of each kind of work, as the mean of its logarithm.

    It is learned at all replicas together, each corrected by what is known of its
    speed, so it doesn't depend on which replicas get the most requests.
    """

    def __init__(self):
        self._kinds = OrderedDict()

    def compare(self, kind, seconds, slowdown_log):
        """Return the logarithm of a duration in units of the usual one, and learn it.

        Parameters
        ----------
        kind : hashable
            Kind of the work; durations of one kind are comparable.
        seconds : float
            How long it took.
        slowdown_log : float
            Logarithm of the slowdown known of the replica.

        Returns
        -------
        float or None
            None if the usual duration is not known yet.
        """
        usual = self._kinds.get(kind)
        if usual is None:
            usual = self._kinds[kind] = _Usual()
        self._kinds.move_to_end(kind)
        if len(self._kinds) > MAX_KINDS:
            self._kinds.popitem(last=False)
        log = math.log(seconds)
        ratio = log - usual.mean
        was_known = usual.samples >= MIN_SAMPLES
        usual.samples = min(usual.samples + 1, MAX_SAMPLES)
        usual.mean += (ratio - slowdown_log) / usual.samples
        return ratio if was_known else None

    def find(self, kind):
        """Return the usual seconds of a kind of work; None if not known yet."""
        usual = self._kinds.get(kind)
        if usual is None or usual.samples < MIN_SAMPLES:
            return None
        return math.exp(usual.mean)
