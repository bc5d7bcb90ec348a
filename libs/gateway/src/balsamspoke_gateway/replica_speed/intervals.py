"""Intervals between the events of a stream, as samples of an engine's speed."""

# Events of which the shortest interval is a sample: an engine prefills other prompts
# between two of them now and then, but rarely between all.
SAMPLED_INTERVALS = 3


class IntervalSampler:
    """Turn the intervals of one stream into samples."""

    def __init__(self):
        self._count = 0
        self._shortest = None

    def add(self, interval):
        """Add a timedelta; return the shortest of the last few once there are enough.

        The result is None until then.
        """
        if self._shortest is None or interval < self._shortest:
            self._shortest = interval
        self._count += 1
        if self._count < SAMPLED_INTERVALS:
            return None
        sample, self._shortest, self._count = self._shortest, None, 0
        return sample
