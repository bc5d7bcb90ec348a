"""Token limits of the teams, enforced by all entry processes together."""

from datetime import timedelta

from ..exceptions import OverLimit
from ..messages import EntryUsage
from ..peers.activity import PeerActivity
from ..peers.pacing import choose_interval
from .buckets import TeamShare, TokenBucket
from .tolerance import QuotaTolerance

# Fraction of the burst that processes that start together may spend: they have no
# record of what was admitted just before.
INITIAL_FILL_RATIO = 0.5
# Fraction of the gap to the mean of all bucket levels that a process closes in one
# message interval.
AVERAGING_RATIO = 0.5


class TeamQuotas:
    """Token buckets that keep each team within its rate and burst.

    Each process keeps a copy of the whole fleet's bucket: it takes the tokens of its
    own requests at once, and those of its peers when their messages arrive. In between,
    the processes together may over-admit the traffic of one message interval, which the
    tolerance of the limits covers. A process that receives nothing from some of its
    peers uses only its group's share of the limit and of the tolerance, so that
    partitioned groups together stay within both.

    While a team uses its whole limit, differing bucket levels would never converge, and
    only the process with the fullest bucket, such as one that has just started, would
    admit the team's requests. The processes therefore exchange their levels and move
    towards the mean.

    Parameters
    ----------
    tolerance : QuotaTolerance or None
        Excess that partitioned groups of processes may use; None for none.
    activity : PeerActivity or None
        When the peers were last heard; None to track it here alone.
    """

    def __init__(self, tolerance=None, activity=None):
        self._tolerance = tolerance or QuotaTolerance()
        self._activity = activity or PeerActivity()
        self._buckets = {}
        self._admitted = {}
        self._reported = {}
        self._peers = {}

    @property
    def admitted(self):
        """Tokens admitted here since the start of the process, by team."""
        return self._admitted

    def make_usage(self, started, now):
        """Return the EntryUsage to send to the peers.

        Parameters
        ----------
        started : int
            Identifies this start of the process.
        now : timedelta
            Monotonic time.
        """
        for bucket in self._buckets.values():
            bucket.refill(now)
        levels = {name: bucket.level for name, bucket in self._buckets.items()}
        self._reported = dict(self._admitted)
        return EntryUsage(started, dict(self._admitted), levels)

    def take(self, team, tokens, now):
        """Take the tokens of a Team's request from its bucket.

        A request is admitted while any tokens are left, even if it costs more.

        Parameters
        ----------
        team : Team
            Team that sent the request.
        tokens : int
            Cost of the request.
        now : timedelta
            Monotonic time.

        Raises
        ------
        OverLimit
            If no tokens are left.
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
        """Return the TeamShare of a Team that has a limit, at a monotonic time."""
        bucket = self._refill(team, now)
        admitted = self._admitted.get(team.name, 0.0)
        return TeamShare(team.name, bucket.level, bucket.rate, admitted)

    def refund(self, team, tokens):
        """Return the tokens of an admitted request that has not run."""
        bucket = self._buckets.get(team.name)
        if bucket is None or team.name not in self._admitted:
            # The team had no limit when the request was admitted.
            return
        bucket.level = min(team.burst, bucket.level + tokens)
        self._admitted[team.name] -= tokens

    def record_usage(self, peer, usage, now):
        """Subtract the tokens that a peer has admitted since its last EntryUsage.

        The bucket levels are then moved towards those of the peer. The first message of
        a peer only sets the base for the following ones.

        Parameters
        ----------
        peer : str
            IP address of the peer.
        usage : EntryUsage
            Message of the peer.
        now : timedelta
            Monotonic time.

        Returns
        -------
        bool
            Whether it is the first EntryUsage since the peer started.
        """
        self._activity.record_message(peer, now)
        previous = self._peers.get(peer)
        self._peers[peer] = usage
        if previous is None:
            return True
        has_restarted = previous.started != usage.started
        for name, tokens in usage.tokens.items():
            before = 0.0 if has_restarted else previous.tokens.get(name, 0.0)
            bucket = self._buckets.get(name)
            if bucket is not None:
                bucket.level -= tokens - before
        self._average_levels(usage, now)
        return has_restarted

    def _average_levels(self, usage, now):
        """Move the bucket levels towards those of a peer.

        A peer's levels do not include what was admitted here since this process last
        sent its usage. That amount is subtracted first; otherwise each message would
        add tokens at both ends.
        """
        for name, level in usage.levels.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                continue
            bucket.refill(now)
            unreported = self._admitted.get(name, 0.0) - self._reported.get(name, 0.0)
            gap = level - unreported - bucket.level
            bucket.level += AVERAGING_RATIO / self._activity.count * gap

    def set_peers(self, peers, timeout, now):
        """Set the registered peers.

        Parameters
        ----------
        peers : list of str
            IP addresses of all registered peers.
        timeout : timedelta
            Time without a message after which a peer may be partitioned but still serve
            requests.
        now : timedelta
            Monotonic time.
        """
        for peer in self._activity.set_peers(peers, timeout, now):
            self._peers.pop(peer, None)

    def _refill(self, team, now):
        """Return the team's bucket, refilled at this group's share of the limit."""
        share = self._activity.compute_share(now)
        interval = choose_interval(self._activity.count)
        tolerated = self._tolerance.compute_usable_rate(team, interval)
        rate = min(team.rate, share * (team.rate + tolerated))
        burst = share * team.burst
        bucket = self._buckets.get(team.name)
        if bucket is None:
            # Until it hears of its peers, a process spends its own part alone: they may
            # all have just started.
            level = team.burst * INITIAL_FILL_RATIO / (self._activity.count + 1)
            bucket = TokenBucket(level, rate, burst, now)
            self._buckets[team.name] = bucket
        bucket.rate, bucket.burst = rate, burst
        bucket.refill(now)
        return bucket
