"""Settings of the catalogue's distribution."""

from dataclasses import dataclass
from datetime import timedelta

from .deltas import PAGE_BYTES


@dataclass(frozen=True, slots=True)
class CatalogueSettings:
    """Intervals and sizes of the distribution.

    Attributes
    ----------
    pull_interval : timedelta
        Between two pulls from a random peer while nothing newer is heard of.
    pull_timeout : timedelta
        After which another peer is asked.
    page_bytes : int
        Size at which a page of a delta ends.
    recent_window : timedelta
        How long a change rides on every answer after it was taken.
    recent_limit : int
        Changes that ride on an answer at most.
    fallback_delay : timedelta
        Without an answer of a peer for so long, the object API is used.
    watch_period : timedelta
        After which a watch is begun again from where it began before, so that
        lost events come once more.
    retry_delay, maximum_retry_delay : timedelta
        Between tries on the object API while it fails.
    sweep_interval : timedelta
        Between two listings that look for what was missed for other reasons.
    sweep_pause : timedelta
        Between two pages of such a listing.
    refusals_before_snapshot : int
        Peers that can't give a delta before a whole snapshot is taken.
    """

    pull_interval: timedelta = timedelta(seconds=3)
    pull_timeout: timedelta = timedelta(seconds=1)
    page_bytes: int = PAGE_BYTES
    recent_window: timedelta = timedelta(seconds=60)
    recent_limit: int = 256
    fallback_delay: timedelta = timedelta(seconds=2)
    watch_period: timedelta = timedelta(seconds=20)
    retry_delay: timedelta = timedelta(seconds=1)
    maximum_retry_delay: timedelta = timedelta(seconds=3)
    sweep_interval: timedelta = timedelta(hours=4)
    sweep_pause: timedelta = timedelta(seconds=1)
    refusals_before_snapshot: int = 3
