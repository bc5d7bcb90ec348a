"""Bound of the bytes that a process holds of unfinished answers of replicas."""

from collections import Counter


class HeldAnswer:
    """What is held of one answer.

    Parameters
    ----------
    budget : ReceiveBudget
        Counts it.
    source : str
        Id of the replica.
    on_dropped : callable
        Called without arguments when the answer is dropped.

    Attributes
    ----------
    size : int
        Bytes that are held.
    is_dropped : bool
        Whether it was dropped; nothing more may be held of it.
    """

    def __init__(self, budget, source, on_dropped):
        self._budget = budget
        self.source = source
        self._on_dropped = on_dropped
        self.size = 0
        self.is_dropped = False

    def resize(self, size):
        """Count the number of bytes that are held by now; answers may be dropped."""
        if not self.is_dropped:
            self._budget.resize(self, size)

    def drop(self):
        """Drop the answer, to free memory."""
        self.close()
        self.is_dropped = True
        self._on_dropped()

    def close(self):
        """Hold nothing of the answer any more."""
        self._budget.remove(self)


class ReceiveBudget:
    """Bound what is held of all unfinished answers together.

    This handles replicas that send without end: each answer has its bound, and many of
    them at once would fill the VM's memory, which ends the requests of all callers.
    When there is no room, the longest answer is dropped of the replica of which most
    is held: answers of sound replicas are short, and are spread over them.

    Parameters
    ----------
    limit_bytes : int or None
        The bound; None for none.

    Attributes
    ----------
    held_bytes : int
        Bytes that are held of all answers.
    dropped : int
        Answers that were dropped since the start.
    """

    def __init__(self, limit_bytes=None):
        self._limit_bytes = limit_bytes
        self._answers = {}
        self._by_source = Counter()
        self.held_bytes = 0
        self.dropped = 0

    def open(self, source, on_dropped):
        """Return the HeldAnswer of a new attempt; see there for the parameters."""
        return HeldAnswer(self, source, on_dropped)

    def resize(self, answer, size):
        """Count a new size of a HeldAnswer, and drop answers while it is too much."""
        self._count(answer, size)
        while self._limit_bytes is not None and self.held_bytes > self._limit_bytes:
            self._choose_excess().drop()
            self.dropped += 1

    def remove(self, answer):
        """Count nothing for a HeldAnswer any more."""
        self._count(answer, 0)

    def _count(self, answer, size):
        change = size - answer.size
        answer.size = size
        self.held_bytes += change
        self._by_source[answer.source] += change
        answers = self._answers.setdefault(answer.source, set())
        if size:
            answers.add(answer)
            return
        answers.discard(answer)
        if not answers:
            del self._answers[answer.source]
            del self._by_source[answer.source]

    def _choose_excess(self):
        source = max(self._by_source, key=self._by_source.get)
        return max(self._answers[source], key=lambda answer: answer.size)
