"""Times of the calls to the store, from the bounds that the settings name."""

from dataclasses import dataclass
from datetime import timedelta

from ..exceptions import NO_DELAY

# Shortest time between two reads of replica changes, as a fraction of ``drain_time``,
# the time to stop sending to a leaving replica. Each replica writes about once a
# second, and each read is billed.
REPLICA_POLL_RATIO = 0.4
# Shortest time between two reads of announced adapter versions.
VERSION_POLL_INTERVAL = timedelta(milliseconds=500)
# Shortest time between two reads of the list of entry processes.
ENTRY_POLL_INTERVAL = timedelta(seconds=2)

# Longest delay until a new entry process is seen in the store by the others, which
# share the teams' limits with it.
MAX_ENTRY_STALENESS = timedelta(seconds=20)
# Shortest one for drained failure domains: each watch is billed.
MIN_DRAIN_STALENESS = timedelta(seconds=2)

# Time to notice that the answer to a watch is overdue, and to read a list after it.
NOTICE_TIME = timedelta(milliseconds=1200)
# The store is asked for nothing that takes longer or shorter than these.
MAX_WATCH_TIME = timedelta(seconds=30)
MIN_WATCH_TIME = timedelta(milliseconds=500)
# Intervals of the replicas' heartbeats in which no entry expires while the store is
# away: an entry expires after three, and its last heartbeat may be one interval old
# by then, and a little late.
HARMLESS_HEARTBEATS = 1.9
# Time to notice that a probe is unanswered, and to have an answer to the next one.
PROBE_NOTICE_TIME = timedelta(milliseconds=850)
# Time within which the processes read the store again if it was restored or silent, so
# that they don't all do so at the same moment.
READ_SPREAD = timedelta(milliseconds=300)
# Part of the time between probes in which the answer to a watch arrives.
ANSWER_MARGIN = timedelta(milliseconds=50)
# Each probe is billed.
MIN_PROBE_INTERVAL = MIN_WATCH_TIME + ANSWER_MARGIN


@dataclass(frozen=True, slots=True)
class WatchTimes:
    """Times for which watches of the store wait for a change.

    Attributes
    ----------
    configurations, replicas, versions, entries : timedelta
        Longest wait by kind of record.
    drained_domains : timedelta or None
        Longest wait for drained failure domains; None if operators don't drain them.
    """

    configurations: timedelta
    replicas: timedelta
    versions: timedelta
    entries: timedelta
    drained_domains: timedelta | None


def choose_watch_time(staleness, pause):
    """Return the longest watch with which a change is known in time.

    At worst the connection goes silent as the pause after a change begins: the next
    watch then begins after the pause, and is overdue before anything is noticed.

    Parameters
    ----------
    staleness : timedelta
        Longest time until a change has to be known.
    pause : timedelta
        Pause between two watches after a change.
    """
    watch_time = staleness - pause - NOTICE_TIME
    return min(MAX_WATCH_TIME, max(MIN_WATCH_TIME, watch_time))


def compute_harmless_outage(settings):
    """Return the longest outage of the store (timedelta) in which no entry expires."""
    return HARMLESS_HEARTBEATS * settings.heartbeat_interval


def choose_probe_interval(settings):
    """Return the time without an answer after which the store is probed.

    A silence is noticed before it could be an outage in which entries expire, and all
    records are read again within the time of calm.
    """
    until_harmful = compute_harmless_outage(settings) - PROBE_NOTICE_TIME
    until_calm = settings.calm_time - NOTICE_TIME - READ_SPREAD
    return max(MIN_PROBE_INTERVAL, min(until_harmful, until_calm))


def make_watch_times(settings):
    """Return the WatchTimes that keep the bounds of GatewaySettings.

    A bound holds again when connections have been sound for ``calm_time``. A change
    from just before they went silent has to be known by then, or within its own bound.
    """

    def choose(bound, pause=NO_DELAY):
        return choose_watch_time(max(bound, settings.calm_time), pause)

    # An answer comes before the store would be probed.
    replicas = min(
        choose(settings.drain_time, REPLICA_POLL_RATIO * settings.drain_time),
        choose_probe_interval(settings) - ANSWER_MARGIN,
    )
    return WatchTimes(
        choose(settings.configuration_time),
        replicas,
        choose(settings.version_time, VERSION_POLL_INTERVAL),
        choose_watch_time(MAX_ENTRY_STALENESS, NO_DELAY),
        _choose_drain_watch_time(settings.domain_drain_time),
    )


def _choose_drain_watch_time(bound):
    """Return the wait for drained domains.

    The time of calm is no part of its staleness: a change is seen within the bound
    also if a watch of it is never answered.
    """
    if bound is None:
        return None
    return choose_watch_time(max(bound, MIN_DRAIN_STALENESS), NO_DELAY)
