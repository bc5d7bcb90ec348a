"""Adapter slots of an engine and the policies that choose which one to evict."""

import enum
from abc import ABC, abstractmethod
from dataclasses import dataclass
from datetime import timedelta

from balsamspoke_types.identifiers import AdapterRef

MAX_TRACKED_ADAPTERS = 8192


class SlotState(enum.Enum):
    """State of an adapter in a slot.

    ``MISSING`` marks an adapter that the engine turned out not to have. Its slot
    stays until no request has a pin on it.
    """

    LOADING = "loading"
    LOADED = "loaded"
    UNLOADING = "unloading"
    MISSING = "missing"


@dataclass(slots=True)
class Slot:
    """An adapter slot of the engine.

    Attributes
    ----------
    adapter : AdapterRef
        The adapter in the slot.
    state : SlotState
        Progress of its load or unload.
    last_used : timedelta
        Monotonic time of the last load or adoption, or of the last start or end of
        a request on the adapter.
    pins : int
        Number of requests that run on the adapter; it isn't evicted meanwhile.
    is_adopted : bool
        Whether the adapter was found loaded in a report of the engine. Requests of
        an earlier process may still run on it.
    is_held : bool
        Whether new requests are kept from starting on the adapter, so that it can
        be evicted once it is idle.
    """

    adapter: AdapterRef
    state: SlotState
    last_used: timedelta
    pins: int = 0
    is_adopted: bool = False
    is_held: bool = False


class SlotPolicy(ABC):
    """Choose the adapter to evict when a slot is needed."""

    @abstractmethod
    def record_request(self, adapter, now):
        """Count a request for an adapter."""

    @abstractmethod
    def choose_slot_to_evict(self, slots, now, count_queued):
        """Return the slot whose adapter is evicted.

        Parameters
        ----------
        slots : list of Slot
            Candidates, loaded and without pins; at least one.
        now : timedelta
            Monotonic time.
        count_queued : callable
            Called with an AdapterRef; returns the number of requests queued for it.
        """


class LruSlotPolicy(SlotPolicy):
    """Evict the least recently used adapter."""

    def record_request(self, adapter, now):
        """Ignore the request; only the time of use counts."""

    def choose_slot_to_evict(self, slots, now, count_queued):
        """Return the least recently used slot."""
        return min(slots, key=lambda slot: slot.last_used)


class PopularitySlotPolicy(SlotPolicy):
    """Evict the adapter with the fewest queued requests, then the least popular one.

    The popularity is a decayed count of recent requests.

    Parameters
    ----------
    half_life : timedelta
        Time in which a count decays to half.
    recency_time : timedelta
        Idle time of a slot after which its count is halved for the comparison.
    """

    def __init__(
        self, half_life=timedelta(seconds=60), recency_time=timedelta(seconds=30)
    ):
        self._half_life = half_life
        self._recency_time = recency_time
        self._popularity = {}

    def record_request(self, adapter, now):
        """Count a request for an adapter."""
        self._popularity[adapter] = (self.get_popularity(adapter, now) + 1.0, now)
        if len(self._popularity) > MAX_TRACKED_ADAPTERS:
            self._drop_least_popular(now)

    def get_popularity(self, adapter, now):
        """Return the decayed number of requests for an adapter."""
        count, updated_at = self._popularity.get(adapter, (0.0, now))
        return count * 0.5 ** ((now - updated_at) / self._half_life)

    def choose_slot_to_evict(self, slots, now, count_queued):
        """Return the slot with the fewest queued requests, then the least popular."""
        return min(
            slots, key=lambda slot: self._get_eviction_key(slot, now, count_queued)
        )

    def _get_eviction_key(self, slot, now, count_queued):
        idle_ratio = (now - slot.last_used) / self._recency_time
        score = self.get_popularity(slot.adapter, now) / (1.0 + max(0.0, idle_ratio))
        return count_queued(slot.adapter), score, slot.last_used

    def _drop_least_popular(self, now):
        ranked = sorted(
            self._popularity, key=lambda adapter: self.get_popularity(adapter, now)
        )
        for adapter in ranked[: MAX_TRACKED_ADAPTERS // 2]:
            del self._popularity[adapter]
