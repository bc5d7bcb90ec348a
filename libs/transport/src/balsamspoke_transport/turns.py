"""Division of connections' work among the turns of the event loop."""

from collections import deque
from datetime import timedelta

# Connections that are resumed in one turn. What each does in it is bounded by the
# connection itself.
MAX_CONNECTIONS_PER_TURN = 4


class TurnQueue:
    """Connections with more work than one turn of the loop may hold.

    They are resumed in the order in which they came, some in each turn. Sockets and
    timers run in between, so that no peer's bytes delay what others wait for.

    Parameters
    ----------
    clock : Clock
        Schedules the next turn.
    """

    def __init__(self, clock):
        self._clock = clock
        self._waiting = deque()

    def add(self, work):
        """Add the work of a connection.

        Parameters
        ----------
        work : callable
            Called in a later turn; returns whether there is more to do.
        """
        if not self._waiting:
            self._schedule()
        self._waiting.append(work)

    def _schedule(self):
        self._clock.call_later(timedelta(0), self._run)

    def _run(self):
        count = min(len(self._waiting), MAX_CONNECTIONS_PER_TURN)
        due = [self._waiting.popleft() for _ in range(count)]
        try:
            while due:
                work = due.pop(0)
                if work():
                    self._waiting.append(work)
        finally:
            # If one fails, the others are resumed all the same.
            self._waiting.extendleft(reversed(due))
            if self._waiting:
                self._schedule()
