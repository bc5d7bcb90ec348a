"""The teams' limits in tokens, over all entry processes together."""

from dataclasses import dataclass
from datetime import timedelta

from .exceptions import OverLimit
from .messages import EntryUsage
from .pacing import MIN_LIFETIME

# A peer that was not heard for this long has ended for good: longer than a VM is cut
# off, so that one that still serves keeps its part.
PEER_EXPIRY = timedelta(minutes=10)
# Part of the burst that a new process may spend: it does not know what it or the
# others spent just before it started.
INITIAL_FILL_RATIO = 0.5
# Part of the tolerance that groups of processes may use while they don't hear each
# other; the rest covers what is admitted before the silence is noticed.
USABLE_TOLERANCE_RATIO = 0.8
# Part of the way to the mean of all levels that a process goes in one interval.
AVERAGING_RATIO = 0.5


@dataclass(frozen=True, slots=True)
class QuotaTolerance:
    """How far the sum of all processes may miss a team's limit.

    Attributes
    ----------
    window : timedelta
        Any span of this length counts.
    part : float
        Of what the limit allows in a window.
    tokens : float
        Beyond that in a window.
    """

    window: timedelta = timedelta(seconds=8)
    part: float = 0.0
    tokens: float = 0.0

    def compute_excess_rate(self, team):
        """Return the tokens a second that a Team may get too much."""
        seconds = self.window.total_seconds()
        allowed = team.rate * seconds + team.burst
        return (allowed * self.part + self.tokens) / seconds


@dataclass(frozen=True, slots=True)
class TeamShare:
    """What one entry process may still admit of a team.

    Attributes
    ----------
    team : str
        Its name.
    tokens_left : float
        Below zero after a request that cost more than was left.
    rate : float
        Tokens that come back in a second here.
    admitted : float
        Tokens admitted here since the start.
    """

    team: str
    tokens_left: float
    rate: float
    admitted: float


@dataclass(slots=True)
class _Bucket:
    level: float
    rate: float
    burst: float
    updated: timedelta

    def refill(self, now):
        """Bring the level up to a time."""
        gained = self.rate * (now - self.updated).total_seconds()
        self.level = min(self.burst, self.level + gained)
        self.updated = now


class TeamQuotas:
    """Admit requests within each team's rate and burst.

    Each process runs the bucket of the whole fleet: it takes its own requests from
    it at once, and those of its peers when it hears of them. Between hearing and
    taking, all processes together may admit the traffic of one message's interval
    too much, which the limits' tolerance covers. A process that does not hear some
    of its peers uses only its group's part of limit and tolerance, so that groups
    that are cut from each other stay within both together.

    While a team asks for all that it may, buckets that differ would differ for good,
    and the fullest alone, say that of a process that has just started, would admit
    the team's requests. So the processes tell their levels and move to their mean.

    Parameters
    ----------
    tolerance : QuotaTolerance
        For processes that do not hear each other.
    """

    def __init__(self, tolerance=QuotaTolerance()):
        self._tolerance = tolerance
        self._buckets = {}
        self._admitted = {}
        self._reported = {}
        self._peers = {}
        self._last_heard = {}
        self._peer_timeout = MIN_LIFETIME

    @property
    def admitted(self):
        """Tokens admitted here since the start, by team."""
        return self._admitted

    def make_usage(self, started, now):
        """Return the EntryUsage to tell the peers.

        Parameters
        ----------
        started : int
            Differs between starts of this process.
        now : timedelta
            Monotonic time.
        """
        for bucket in self._buckets.values():
            bucket.refill(now)
        levels = {name: bucket.level for name, bucket in self._buckets.items()}
        self._reported = dict(self._admitted)
        return EntryUsage(started, dict(self._admitted), levels)

    def take(self, team, tokens, now):
        """Admit a request of a Team that costs so many tokens.

        Raises
        ------
        OverLimit
            If the team has to wait.
        """
        if team.rate <= 0:
            return
        bucket = self._refill(team, now)
        if bucket.level <= 0:
            rate = bucket.rate
            reason = (
                f"team {team.name} is over its limit: {bucket.level:.0f} tokens left, "
                f"{rate:.0f} of {team.rate:.0f} a second come back here"
            )
            raise OverLimit(reason, timedelta(seconds=(tokens - bucket.level) / rate))
        bucket.level -= tokens
        self._admitted[team.name] = self._admitted.get(team.name, 0.0) + tokens

    def get_share(self, team, now):
        """Return the TeamShare of a Team that has a limit."""
        bucket = self._refill(team, now)
        admitted = self._admitted.get(team.name, 0.0)
        return TeamShare(team.name, bucket.level, bucket.rate, admitted)

    def refund(self, team, tokens):
        """Take back an admitted request that has not run."""
        bucket = self._buckets.get(team.name)
        if bucket is None:
            return
        bucket.level = min(team.burst, bucket.level + tokens)
        self._admitted[team.name] -= tokens

    def record_usage(self, peer, usage, now):
        """Take an EntryUsage from a peer, named by its VM."""
        self._last_heard[peer] = now
        last = self._peers.get(peer)
        self._peers[peer] = usage
        if last is None:
            return
        has_restarted = last.started != usage.started
        for name, tokens in usage.tokens.items():
            before = 0.0 if has_restarted else last.tokens.get(name, 0.0)
            bucket = self._buckets.get(name)
            if bucket is not None:
                bucket.level -= tokens - before
        self._average_levels(usage, now)

    def _average_levels(self, usage, now):
        """Move the levels towards those of a peer.

        Its levels lack what was admitted here since this process last told it;
        without taking that off, both would gain tokens by each message.
        """
        for name, level in usage.levels.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                continue
            bucket.refill(now)
            unreported = self._admitted.get(name, 0.0) - self._reported.get(name, 0.0)
            gap = level - unreported - bucket.level
            bucket.level += AVERAGING_RATIO / len(self._last_heard) * gap

    def set_peers(self, peers, timeout, now):
        """Take the names of all peers that are registered.

        A peer that was not heard for ``silence`` (timedelta) may be cut off and
        serve on by itself.
        """
        self._peer_timeout = timeout
        for peer in peers:
            self._last_heard.setdefault(peer, now)
        for peer in set(self._last_heard) - set(peers):
            del self._last_heard[peer]
            self._peers.pop(peer, None)

    def list_expired_peers(self, now):
        """Return the names of registered peers that have ended for good."""
        return [
            peer
            for peer, heard in self._last_heard.items()
            if now - heard > PEER_EXPIRY
        ]

    def count_silent(self, now):
        """Return how many peers are not heard but may serve on."""
        silences = [now - heard for heard in self._last_heard.values()]
        return sum(self._peer_timeout < each < PEER_EXPIRY for each in silences)

    def _compute_share(self, now):
        """Return the part of the rate that is this group's."""
        return 1 - self.count_silent(now) / (len(self._last_heard) + 1)

    def _refill(self, team, now):
        """Return the team's bucket, refilled by this group's part of the limit."""
        share = self._compute_share(now)
        tolerated = USABLE_TOLERANCE_RATIO * self._tolerance.compute_excess_rate(team)
        rate = min(team.rate, share * (team.rate + tolerated))
        burst = share * team.burst
        bucket = self._buckets.get(team.name)
        if bucket is None:
            bucket = _Bucket(team.burst * INITIAL_FILL_RATIO, rate, burst, now)
            self._buckets[team.name] = bucket
        bucket.rate, bucket.burst = rate, burst
        bucket.refill(now)
        return bucket
