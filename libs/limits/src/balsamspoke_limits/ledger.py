"""Token buckets of one process for the teams of one group."""

from dataclasses import dataclass

from .bucket import MICRO, Bucket
from .settings import Limits


@dataclass(slots=True)
class _TeamBucket:
    bucket: Bucket
    limits: Limits


def compute_usable_limits(limits, lifetime):
    """Return the reduced limits that buckets apply, since grants may be used late.

    A grant may be used up to its lifetime after its tokens left the bucket, which
    refills meanwhile. So the tokens that the rate yields in that time are subtracted
    from the burst. The rate is at most the burst over twice the lifetime, so that
    at least half of the burst is left.

    Parameters
    ----------
    limits : Limits
        Limits over all entry processes together.
    lifetime : float
        Lifetime of a grant in seconds.
    """
    rate = max(0.0, min(limits.rate, limits.burst / (2 * lifetime)))
    return Limits(rate, limits.burst - rate * lifetime)


class GroupBuckets:
    """Buckets of the teams of one group, sized by the units that the process holds.

    In its methods, ``now`` is in microseconds on the monotonic clock.

    Parameters
    ----------
    total : int
        Number of units in the group.
    lifetime : timedelta
        Lifetime of a grant.

    Attributes
    ----------
    units : int
        Units in use, which the buckets are sized by.
    """

    def __init__(self, total, lifetime):
        self.units = 0
        self._total = total
        self._lifetime = lifetime.total_seconds()
        self._acquisitions = []
        self._team_buckets = {}

    def set_units(self, count, now):
        """Change the number of units and resize all buckets.

        Added units contribute no tokens yet: their part fills from ``now`` on, also in
        buckets that are created later.
        """
        if count == self.units:
            return
        if count > self.units:
            self._acquisitions.append((now, count - self.units))
        else:
            self._remove_units(self.units - count)
        self.units = count
        for entry in self._team_buckets.values():
            self._resize(entry, entry.limits, now)

    def set_limits(self, team, limits, now):
        """Apply changed limits to a team's bucket, if it exists; None means zero."""
        entry = self._team_buckets.get(team)
        if entry is not None and limits != entry.limits:
            self._resize(entry, limits or Limits(0.0, 0.0), now)

    def list_teams(self):
        """Return the teams that have a bucket."""
        return tuple(self._team_buckets)

    def get_bucket(self, team, limits, now):
        """Return the team's bucket, sized by the limits and refilled up to ``now``.

        It is created if it doesn't exist yet.
        """
        entry = self._team_buckets.get(team)
        if entry is None:
            entry = self._create_bucket(limits, now)
            self._team_buckets[team] = entry
        elif entry.limits is not limits and entry.limits != limits:
            self._resize(entry, limits, now)
        entry.bucket.refill(now)
        return entry.bucket

    def _create_bucket(self, limits, now):
        rate, capacity = self._scale_limits(limits, self.units)
        level = 0
        for since, count in self._acquisitions:
            part_rate, part_capacity = self._scale_limits(limits, count)
            level += min(part_capacity, int(part_rate * (now - since)))
        return _TeamBucket(Bucket(rate, capacity, level, now), limits)

    def _resize(self, entry, limits, now):
        rate, capacity = self._scale_limits(limits, self.units)
        entry.bucket.resize(rate, capacity, now)
        entry.limits = limits

    def _scale_limits(self, limits, units):
        usable = compute_usable_limits(limits, self._lifetime)
        part = units / self._total
        return usable.rate * part, int(usable.burst * MICRO) * units // self._total

    def _remove_units(self, count):
        while count:
            since, held = self._acquisitions.pop(0)
            if held > count:
                self._acquisitions.insert(0, (since, held - count))
            count -= min(held, count)
