"""Estimate of how long work takes at one replica, now and as a rule."""

import math
import statistics
from collections import deque
from datetime import timedelta

from ..exceptions import NO_DELAY
from .factors import MAX_LEARNED_LOG, bound_log, compute_log, remove_chance
from .messages import LearnedSlowdown, RecentSamples, StatedSlowdown

# Age at which a replica's statement, or its recent answers, say nothing of the present:
# neighbours on its VM come and go several times a second.
FADE_TIME = timedelta(seconds=1)
# Weight of a statement in the mean of what the replica states.
STATED_WEIGHT = 0.05
# Time without statements after which that mean counts half.
STATED_HALF_LIFE = timedelta(seconds=10)
# Samples over which the rule is averaged, and those that a rule of 1 counts for.
MAX_SAMPLES = 33.0
PRIOR_SAMPLES = 4.0
# Samples without which nothing is learned.
MIN_SAMPLES = 1.0
# Time without samples after which those before count half: a replica that was slow is
# tried again.
SAMPLE_HALF_LIFE = timedelta(seconds=10)
# Weight of a sample in what recent answers show.
RECENT_WEIGHT = 0.3
# Time for which a slowdown isn't computed anew unless there is news, as a process looks
# at all replicas for each request.
KNOWN_TIME = timedelta(milliseconds=200)
# How far recent answers must still hold to be told to others.
RECENT_SHARED_FADE = 0.5
# Samples kept for the next message; the oldest are dropped first.
MAX_UNSHARED = 50
# Differences that are taken as chance: durations of equal work vary.
RULE_BAND = math.log(1.1)
RECENT_BAND = math.log(1.6)


class SlowdownEstimate:
    """Estimate the time that work takes at a replica, as a multiple of the usual one.

    This handles replicas on uneven hardware whose neighbours come and go several times
    a second. Three things are tracked, each on its time scale:

    - What the replica states of itself. It holds for the moment; within ``FADE_TIME``
      it fades to the mean of what the replica states, which is forgotten if it states
      nothing more: one that is avoided for it would never state anything else.
    - What answers show as a rule, beyond what the replica stated meanwhile: the
      hardware, or a statement that isn't true. It changes over tens of samples and is
      forgotten without any.
    - What the last few answers show beyond both: a replica that has just turned slow
      and states nothing. It fades as fast as a statement.
    """

    __slots__ = (
        "_known_at", "_known_log", "_learned", "_mean_stated", "_recent", "_recent_at",
        "_sampled_at", "_samples", "_stated", "_stated_at", "_unshared",
    )  # fmt: skip

    def __init__(self):
        self._stated = 0.0
        self._stated_at = None
        self._mean_stated = 0.0
        self._learned = 0.0
        self._recent = 0.0
        self._recent_at = None
        self._unshared = deque(maxlen=MAX_UNSHARED)
        self._samples = 0.0
        self._sampled_at = None
        self._known_log = 0.0
        self._known_at = None

    @property
    def has_stated(self):
        """Whether the replica has stated a slowdown."""
        return self._stated_at is not None

    def record_stated(self, slowdown, stated_at):
        """Record what the replica states of itself.

        Parameters
        ----------
        slowdown : float
            Time that work takes, as a multiple of the usual one.
        stated_at : timedelta
            Monotonic time at which it said so; one older than known is ignored.
        """
        if self._stated_at is not None and stated_at <= self._stated_at:
            return
        self._mean_stated = self._find_mean_stated(stated_at)
        self._stated = compute_log(slowdown)
        self._stated_at = stated_at
        self._mean_stated += STATED_WEIGHT * (self._stated - self._mean_stated)
        self._known_at = None

    def record_sample(self, ratio_log, now, shows_present=True):
        """Record how long some work took.

        Parameters
        ----------
        ratio_log : float
            Logarithm of the time that it took in units of the usual time.
        now : timedelta
            Monotonic time.
        shows_present : bool
            Whether it shows how fast the replica is at the moment, rather than how
            much it had to do before.
        """
        sample = bound_log(ratio_log) - self._find_stated(now)
        if shows_present:
            self._unshared.append(sample)
            self._record_recent(sample, 1, now)
        self._samples = min(MAX_SAMPLES, self._count_samples(now) + 1)
        self._sampled_at = now
        self._learned += (sample - self._learned) / self._samples
        self._known_at = None

    def take_recent_samples(self, center):
        """Return the RecentSamples since the last call; None if they are as usual."""
        samples, self._unshared = self._unshared, deque(maxlen=MAX_UNSHARED)
        if not samples:
            return None
        mean = statistics.fmean(samples)
        if not remove_chance(mean - self._learned, RECENT_BAND):
            return None
        return RecentSamples(math.exp(mean - center), len(samples))

    def record_recent_samples(self, samples, now):
        """Record the RecentSamples of another process.

        They show the present only. The rule of each process comes with its own
        samples, and is merged.
        """
        sample = compute_log(samples.slowdown, MAX_LEARNED_LOG)
        count = min(MAX_UNSHARED, max(0, samples.count))
        self._record_recent(sample, count, now)

    def _record_recent(self, sample, count, now):
        if not _compute_fade(self._recent_at, now):
            self._recent = self._learned
        self._recent_at = now
        self._known_at = None
        weight = 1 - (1 - RECENT_WEIGHT) ** count
        self._recent += weight * (sample - self._recent)

    def merge(self, learned, center, now):
        """Take over what another process has learned, weighted by its samples.

        The samples aren't added up: processes that tell one another the same would
        become ever more certain of it.

        Parameters
        ----------
        learned : LearnedSlowdown
            What it has learned.
        center : float
            Logarithm of what is learned here of the service's replicas in general.
        now : timedelta
            Monotonic time.
        """
        # The order of the arguments makes a number that is none zero.
        others = min(MAX_SAMPLES, max(0.0, learned.samples))
        if not others:
            return
        own = self._count_samples(now)
        told = center + compute_log(learned.slowdown, MAX_LEARNED_LOG)
        change = (told - self._learned) * others / (own + others)
        self._learned += change
        self._recent += change
        self._samples = max(own, others)
        self._sampled_at = now
        self._known_at = None

    def adopt_recent(self, slowdown, center, now):
        """Take over what the samples of all processes show of the present.

        Parameters
        ----------
        slowdown : float
            The slowdown that they show, compared with other replicas.
        center : float
            Logarithm of what is learned here of the service's replicas in general.
        now : timedelta
            Monotonic time.
        """
        self._recent = center + compute_log(slowdown, MAX_LEARNED_LOG)
        self._recent_at = now
        self._known_at = None

    def find_learned_log(self, now):
        """Return the logarithm of what answers show as a rule; None if too old."""
        return self._learned if self._count_samples(now) >= MIN_SAMPLES else None

    def find_log(self, center, now):
        """Return the logarithm of the slowdown compared with other replicas.

        Parameters
        ----------
        center : float
            Logarithm of what is learned of the service's replicas in general.
        now : timedelta
            Monotonic time.
        """
        if self._known_at is None or now - self._known_at >= KNOWN_TIME:
            self._known_log = self._compute_log(center, now)
            self._known_at = now
        return self._known_log

    def _compute_log(self, center, now):
        learned = self._compare_learned(center, now)
        fade = _compute_fade(self._recent_at, now)
        recent = fade * remove_chance(self._recent - self._learned, RECENT_BAND)
        return learned + self._find_stated(now) + recent

    def find_rule(self, center, now):
        """Return the slowdown as a rule, compared with other replicas."""
        learned = self._compare_learned(center, now)
        return math.exp(learned + self._find_mean_stated(now))

    def _compare_learned(self, center, now):
        """Return the logarithm of the rule compared with others; 0 without samples."""
        samples = self._count_samples(now)
        weight = samples / (samples + PRIOR_SAMPLES)
        return remove_chance(weight * (self._learned - center), RULE_BAND)

    def describe_learned(self, center, now):
        """Return a LearnedSlowdown, compared with other replicas; None if too old."""
        samples = self._count_samples(now)
        if samples < MIN_SAMPLES:
            return None
        return LearnedSlowdown(math.exp(self._learned - center), samples)

    def describe_recent(self, now):
        """Return the slowdown that the last few samples show; None if as usual."""
        if _compute_fade(self._recent_at, now) < RECENT_SHARED_FADE:
            return None
        if not remove_chance(self._recent - self._learned, RECENT_BAND):
            return None
        return math.exp(self._recent)

    def describe_stated(self, now):
        """Return a StatedSlowdown for other processes; None if it is too old."""
        if _compute_fade(self._stated_at, now) <= 0:
            return None
        age = now - self._stated_at
        return StatedSlowdown(math.exp(self._stated), age.total_seconds())

    def _find_stated(self, now):
        fade = _compute_fade(self._stated_at, now)
        mean = self._find_mean_stated(now)
        return mean + fade * (self._stated - mean)

    def _find_mean_stated(self, now):
        """Return the mean of the statements; it holds on while they are recent."""
        if self._stated_at is None:
            return 0.0
        idle = max(NO_DELAY, now - self._stated_at - FADE_TIME)
        return self._mean_stated * 0.5 ** (idle / STATED_HALF_LIFE)

    def _count_samples(self, now):
        if self._sampled_at is None:
            return 0.0
        idle = max(NO_DELAY, now - self._sampled_at)
        return self._samples * 0.5 ** (idle / SAMPLE_HALF_LIFE)


def _compute_fade(recorded_at, now):
    """Return how far something still holds, from 1 when new to 0 when old."""
    if recorded_at is None:
        return 0.0
    return max(0.0, 1 - (now - recorded_at) / FADE_TIME)
