"""The buckets of one process for the teams of one group."""

from dataclasses import dataclass

from .bucket import MICRO, Bucket
from .settings import Limits


@dataclass(slots=True)
class _Account:
    bucket: Bucket
    limits: Limits


def find_usable_limits(limits, lifetime):
    """Return the limits that buckets go by, for grants used late.

    A grant may be used up to its lifetime after it left the bucket, so that
    much of the rate is kept off the burst.

    Parameters
    ----------
    limits : Limits
        Limits over the fleet.
    lifetime : float
        Seconds.
    """
    rate = max(0.0, min(limits.rate, limits.burst / (2 * lifetime)))
    return Limits(rate, limits.burst - rate * lifetime)


class Ledger:
    """Buckets of the teams of one group, sized by the units held.

    Parameters
    ----------
    total : int
        Units of the group.
    lifetime : timedelta
        Lifetime of a grant.
    """

    def __init__(self, total, lifetime):
        self.units = 0
        self._total = total
        self._lifetime = lifetime.total_seconds()
        self._batches = []
        self._accounts = {}

    def set_units(self, count, now):
        """Go by another number of units; what is gained starts empty."""
        if count == self.units:
            return
        if count > self.units:
            self._batches.append((now, count - self.units))
        else:
            self._drop(self.units - count)
        self.units = count
        for account in self._accounts.values():
            self._resize(account, account.limits, now)

    def note_limits(self, team, limits, now):
        """Go by other limits of a team at once."""
        account = self._accounts.get(team)
        if account is not None and limits != account.limits:
            self._resize(account, limits or Limits(0.0, 0.0), now)

    def teams(self):
        """Return the teams that have a bucket."""
        return tuple(self._accounts)

    def find_bucket(self, team, limits, now):
        """Return the team's bucket, sized and filled up to now."""
        account = self._accounts.get(team)
        if account is None:
            account = self._open(limits, now)
            self._accounts[team] = account
        elif account.limits is not limits and account.limits != limits:
            self._resize(account, limits, now)
        account.bucket.refill(now)
        return account.bucket

    def _open(self, limits, now):
        rate, capacity = self._share(limits, self.units)
        level = 0
        for since, count in self._batches:
            batch_rate, batch_capacity = self._share(limits, count)
            level += min(batch_capacity, int(batch_rate * (now - since)))
        return _Account(Bucket(rate, capacity, level, now), limits)

    def _resize(self, account, limits, now):
        rate, capacity = self._share(limits, self.units)
        account.bucket.resize(rate, capacity, now)
        account.limits = limits

    def _share(self, limits, units):
        usable = find_usable_limits(limits, self._lifetime)
        part = units / self._total
        return usable.rate * part, int(usable.burst * MICRO) * units // self._total

    def _drop(self, count):
        while count:
            since, held = self._batches.pop(0)
            if held > count:
                self._batches.insert(0, (since, held - count))
            count -= min(held, count)
