"""Replicas that are cold, and for how long."""

from collections import OrderedDict
from dataclasses import dataclass
from datetime import timedelta

from ..exceptions import NO_DELAY

# Longest time for which a replica counts as cold. It limits what a wrong statement of a
# replica or peer costs.
MAX_COLD_TIME = timedelta(minutes=10)
# Each answer of a cold replica states the time left, a little later than the one
# before. A later end by more than this is news.
REPORTED_EXTENSION = timedelta(milliseconds=500)
# A later end is news only once the one that was told before is nearer than this part
# of the time left, so a replica that always states the same time is news rarely.
REPORTED_PART = 0.5
# Starts of replicas remembered; the oldest is forgotten first.
MAX_REMEMBERED_STARTS = 5_000


def bound_cold_time(duration):
    """Return a time from outside, within zero and ``MAX_COLD_TIME``."""
    return min(MAX_COLD_TIME, max(NO_DELAY, duration))


@dataclass(frozen=True, slots=True)
class EndedColdPhase:
    """A time for which a replica was cold, as one process saw it.

    Attributes
    ----------
    replica : str
        Id of the replica.
    withheld : int
        Requests of this process that got no permit in that time.
    """

    replica: str
    withheld: int


@dataclass(slots=True)
class _ColdPhase:
    ends_at: timedelta
    reported_end: timedelta
    withheld: int = 0


class ColdReplicas:
    """Track which replicas are cold, by the start of the replica.

    Unlike a limit that a replica names, this one ends by itself after a time. A replica
    whose entry in the store is removed stays cold: it may be back soon.

    Attributes
    ----------
    withheld : int
        Requests that got no permit for a cold replica, since the start of the process.
    """

    def __init__(self):
        self._phases = {}
        self.withheld = 0

    def record(self, record, duration, now):
        """Record that a replica is cold for a time from now on; the later end counts.

        Parameters
        ----------
        record : ReplicaRecord
            The replica.
        duration : timedelta
            The time; bounded by ``MAX_COLD_TIME``.
        now : timedelta
            Monotonic time.

        Returns
        -------
        bool
            Whether that is news: the replica was warm, or stays cold for longer by
            ``REPORTED_EXTENSION`` than was told, of which less than ``REPORTED_PART``
            of its time is left.
        """
        end = now + bound_cold_time(duration)
        if end <= now:
            return False
        phase = self._phases.get((record.id, record.born))
        if phase is None:
            self._phases[record.id, record.born] = _ColdPhase(end, end)
            return True
        was_warm = phase.ends_at <= now
        phase.ends_at = max(phase.ends_at, end)
        if not was_warm and not self._is_much_later(end, phase.reported_end, now):
            return False
        phase.reported_end = end
        return True

    @staticmethod
    def _is_much_later(end, reported_end, now):
        is_later = end - reported_end >= REPORTED_EXTENSION
        return is_later and reported_end - now <= REPORTED_PART * (end - now)

    def find_time_left(self, record, now):
        """Return how long a replica stays cold; None if it is warm."""
        phase = self._phases.get((record.id, record.born))
        if phase is None or phase.ends_at <= now:
            return None
        return phase.ends_at - now

    def find_first_end(self, records, now):
        """Return the time until the first of some replicas is warm.

        The result is ``NO_DELAY`` if there is none, or if one is warm already.
        """
        times_left = [self.find_time_left(each, now) for each in records]
        return min((each or NO_DELAY for each in times_left), default=NO_DELAY)

    def record_withheld(self, record):
        """Record that a request got no permit for a cold replica."""
        self.withheld += 1
        phase = self._phases.get((record.id, record.born))
        if phase is not None:
            phase.withheld += 1

    def expire(self, now):
        """Forget the replicas that are warm again; return EndedColdPhases."""
        ended = [key for key, phase in self._phases.items() if phase.ends_at <= now]
        return [EndedColdPhase(key[0], self._phases.pop(key).withheld) for key in ended]

    def __len__(self):
        return len(self._phases)


class ReplicaStarts:
    """Remember the starts of replicas, to notice those that are new.

    What the first complete list shows may have started long ago, so only what comes
    after it has started during traffic.
    """

    def __init__(self):
        self._known = OrderedDict()
        self._is_complete = False

    @property
    def is_complete(self):
        """Whether a complete list of the replicas was read."""
        return self._is_complete

    def record(self, records, is_full_list):
        """Record entries (ReplicaRecords) from the store; return the new starts.

        Parameters
        ----------
        records : list of ReplicaRecord
            Entries that were read.
        is_full_list : bool
            Whether they are all there are.

        Returns
        -------
        set of tuple of str and int
            Ids and start times of those that this process has not seen before.
        """
        found = [(each.id, each.born) for each in records]
        new = {key for key in found if key not in self._known}
        for key in found:
            self._known[key] = None
            self._known.move_to_end(key)
        while len(self._known) > MAX_REMEMBERED_STARTS:
            self._known.popitem(last=False)
        if self._is_complete:
            return new
        self._is_complete = is_full_list
        return set()
