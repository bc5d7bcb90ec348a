"""Permits by which the requests to a replica are kept within its rate limit."""

from datetime import timedelta

from ..exceptions import NO_DELAY

# Requests that may be sent at once after a pause, as the time in which they accumulate.
BURST_TIME = timedelta(milliseconds=500)
# Requests a second for permits for one replica that a process is to answer. Many
# processes that compete for the replica are told to ask less often.
MAX_REQUEST_RATE = 50.0
# Bounds of the time after which a process asks again.
MIN_WAIT = timedelta(milliseconds=20)
MAX_WAIT = timedelta(seconds=10)
# A bucket that was not used for this long is dropped: another process may have issued
# the permits meanwhile.
BUCKET_LIFETIME = timedelta(minutes=1)


class PermitBucket:
    """Token bucket of the permits for one replica.

    A bucket begins in debt, for the requests that were sent before the replica named
    its limit, or by permits of the process that issued them before.

    Parameters
    ----------
    rate : float
        Permits a second.
    now : timedelta
        Monotonic time.
    burst_time : timedelta
        Time in which the permits accumulate that may be used at once.
    is_full : bool
        Whether the bucket begins with a burst instead of a debt.
    """

    def __init__(self, rate, now, burst_time=BURST_TIME, is_full=False):
        burst = _compute_burst(rate, burst_time)
        self._level = burst if is_full else -burst
        self._updated_at = now
        self._asked_at = {}

    def is_unused(self, now):
        """Return whether no permit was asked for within ``BUCKET_LIFETIME``."""
        return now - self._updated_at > BUCKET_LIFETIME

    def begin_debt(self, rate, burst_time):
        """Begin anew in debt, as a limit holds for a replica that was without one."""
        self._level = min(self._level, -_compute_burst(rate, burst_time))

    def take(self, process, rate, now, burst_time=BURST_TIME):
        """Take a permit for a process, if there is one.

        Parameters
        ----------
        process : str
            IP address of the process.
        rate : float
            Permits a second.
        now : timedelta
            Monotonic time.
        burst_time : timedelta
            Time in which the permits accumulate that may be used at once.

        Returns
        -------
        timedelta
            ``NO_DELAY`` if there is a permit, else the time after which to ask again.
        """
        self._refill(rate, now, burst_time)
        self._record_asking(process, now)
        if self._level >= 1:
            self._level -= 1
            return NO_DELAY
        next_permit = timedelta(seconds=(1 - self._level) / rate)
        fair_wait = timedelta(seconds=len(self._asked_at) / MAX_REQUEST_RATE)
        return min(MAX_WAIT, max(MIN_WAIT, next_permit, fair_wait))

    def _refill(self, rate, now, burst_time):
        gained = rate * (now - self._updated_at).total_seconds()
        self._level = min(_compute_burst(rate, burst_time), self._level + gained)
        self._updated_at = now

    def _record_asking(self, process, now):
        """Record that a process competes for the permits."""
        self._asked_at[process] = now
        for each, asked_at in list(self._asked_at.items()):
            if now - asked_at > MAX_WAIT:
                del self._asked_at[each]


class PermitIssuer:
    """Issue the permits for the replicas that fall to this process."""

    def __init__(self):
        self._buckets = {}

    def open(self, replica, limit, now):
        """Begin to count the permits for a replica that has just got a limit.

        See ``take`` for the parameters.
        """
        self._find_bucket(replica, limit, now).begin_debt(limit.rate, limit.burst_time)

    def take(self, replica, process, limit, now):
        """Take a permit for a replica, if there is one; see ``PermitBucket.take``.

        Parameters
        ----------
        replica : tuple of str and int
            Id and start time of the replica.
        process : str
            IP address of the process that asks.
        limit : EffectiveLimit
            Limit of the replica, or the part of it that is issued here.
        now : timedelta
            Monotonic time.
        """
        bucket = self._find_bucket(replica, limit, now)
        return bucket.take(process, limit.rate, now, limit.burst_time)

    def _find_bucket(self, replica, limit, now):
        self._drop_unused(now)
        bucket = self._buckets.get(replica)
        if bucket is None:
            # Where processes have just started, none has sent the replica anything yet.
            bucket = self._buckets[replica] = PermitBucket(
                limit.rate, now, limit.burst_time, limit.is_assumed
            )
        return bucket

    def _drop_unused(self, now):
        for replica, bucket in list(self._buckets.items()):
            if bucket.is_unused(now):
                del self._buckets[replica]


def _compute_burst(rate, burst_time):
    return max(1.0, rate * burst_time.total_seconds())
