"""Memory of the prompt parts that replicas have answered lately."""

from collections import OrderedDict
from datetime import timedelta

# A part that was answered within this time did not cause a crash. The time limits how
# long a part is believed that only now crashes replicas, such as after a release.
TRUST_TIME = timedelta(minutes=1)
# The least recently answered part is evicted first.
MAX_PARTS = 12_000


class AnsweredPartsCache:
    """Cache of prompt parts by the time of their last answer."""

    def __init__(self):
        self._answered_at = OrderedDict()

    def record(self, part_ids, now):
        """Record at a monotonic time that a replica has answered parts (by id)."""
        for part_id in part_ids:
            self._answered_at[part_id] = now
            self._answered_at.move_to_end(part_id)
        while len(self._answered_at) > MAX_PARTS:
            self._answered_at.popitem(last=False)

    def is_trusted(self, part_id, now):
        """Return whether a part was answered within ``TRUST_TIME``."""
        answered_at = self._answered_at.get(part_id)
        return answered_at is not None and now - answered_at <= TRUST_TIME
