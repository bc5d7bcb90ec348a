"""Which adapters an engine holds, and which one makes room for another."""

import enum
from abc import ABC, abstractmethod
from dataclasses import dataclass
from datetime import timedelta

from balsamspoke_types.identifiers import AdapterRef

MAX_TRACKED_ADAPTERS = 8192


class SlotState(enum.Enum):
    """State of an adapter in a slot."""

    LOADING = "loading"
    LOADED = "loaded"
    UNLOADING = "unloading"
    MISSING = "missing"


@dataclass(slots=True)
class Slot:
    """An adapter in a slot.

    Attributes
    ----------
    adapter : AdapterRef
        What is in it.
    state : SlotState
        Whether it can be used.
    pins : int
        Requests that run on it.
    last_used : timedelta
        When a request last started or ended on it.
    is_adopted : bool
        Whether an earlier process loaded it, whose requests may still run.
    is_held : bool
        Whether no new request may start on it.
    """

    adapter: AdapterRef
    state: SlotState
    last_used: timedelta
    pins: int = 0
    is_adopted: bool = False
    is_held: bool = False


class SlotPolicy(ABC):
    """Choose the adapter that makes room for another."""

    @abstractmethod
    def record_request(self, adapter, now):
        """Count a request for an adapter."""

    @abstractmethod
    def choose_victim(self, slots, now, count_queued):
        """Return one of the slots.

        Parameters
        ----------
        slots : list of Slot
            Loaded and without pins; at least one.
        now : timedelta
            Monotonic time.
        count_queued : callable
            Gives the number of requests queued for an adapter.
        """


class LruSlotPolicy(SlotPolicy):
    """Unload the adapter that was used the longest time ago."""

    def record_request(self, adapter, now):
        """Do nothing."""

    def choose_victim(self, slots, now, count_queued):
        """Return the slot that was used the longest time ago."""
        return min(slots, key=lambda slot: slot.last_used)


class PopularitySlotPolicy(SlotPolicy):
    """Unload the adapter that will be asked for the least, by its recent requests.

    Parameters
    ----------
    half_life : timedelta
        After this time without requests the popularity is halved.
    recency_time : timedelta
        A slot unused for this long counts half as popular as it is.
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

    def choose_victim(self, slots, now, count_queued):
        """Return the least popular slot, one without queued requests if possible."""
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
