"""Settings of the catalogue distribution."""

from dataclasses import dataclass
from datetime import timedelta

from .deltas import PAGE_BYTES


@dataclass(frozen=True, slots=True)
class CatalogueSettings:
    """Intervals and sizes of the catalogue distribution.

    Attributes
    ----------
    pull_interval : timedelta
        Interval between pulls from a random peer when no peer reports a newer
        revision.
    pull_timeout : timedelta
        Time to wait for a page before another peer is tried.
    page_bytes : int
        Size at which a page of a delta ends.
    recent_window : timedelta
        Time after its application during which a change is added to the first page
        of each answer.
    recent_limit : int
        Maximum number of changes added to an answer.
    fallback_delay : timedelta
        Time without an answer from a peer after which the object API is used.
        ``pull_interval`` is added once a peer has answered.
    watch_period : timedelta
        Time after which a watch is restarted from the revision that the view had at
        its start, so that lost events are delivered again.
    retry_delay : timedelta
        First delay of the exponential backoff while the object API fails, and
        longest interval between two checks whether to use the object API.
    maximum_retry_delay : timedelta
        Upper bound of that backoff, and minimum interval between urgent listings.
    sweep_interval : timedelta
        Interval between background listings, which find changes missed for any other
        reason.
    sweep_pause : timedelta
        Delay between two pages of a background listing.
    refusals_before_snapshot : int
        Number of peers that must refuse a delta before a snapshot of the whole
        catalogue is pulled.
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
