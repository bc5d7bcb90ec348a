"""Timer wheel for streams that produce tokens at the same interval."""

TICK_SECONDS = 0.004


class TokenWheel:
    """Timer wheel that calls each member once every interval.

    Members are spread over the ticks of one timer.

    Parameters
    ----------
    reactor : IReactorTime
        Clock of the timer, which runs only while there are members.
    interval : float
        Seconds between two calls for a member.
    """

    def __init__(self, reactor, interval):
        self._reactor = reactor
        self._slots = [{} for _ in range(max(1, round(interval / TICK_SECONDS)))]
        self._tick_seconds = interval / len(self._slots)
        self._slots_by_member = {}
        self._position = 0
        self._timer = None
        self._next_tick_at = 0.0

    def add(self, member, function):
        """Call a function for a member every interval, first after one interval."""
        slot = self._slots[self._position]
        slot[member] = function
        self._slots_by_member[member] = slot
        if self._timer is None:
            self._next_tick_at = self._reactor.seconds() + self._tick_seconds
            self._timer = self._reactor.callLater(self._tick_seconds, self._advance)

    def remove(self, member):
        """Remove a member, if it is one."""
        slot = self._slots_by_member.pop(member, None)
        if slot is not None:
            del slot[member]

    def stop(self):
        """Remove all members."""
        for member in list(self._slots_by_member):
            self.remove(member)

    def _advance(self):
        now = self._reactor.seconds()
        # After a delay of at least one interval, one tick is run instead of all missed
        # ones, so that members aren't called several times in a row.
        missed_ticks = int((now - self._next_tick_at) / self._tick_seconds)
        if missed_ticks >= len(self._slots):
            self._next_tick_at = now
        while self._next_tick_at <= now:
            self._position = (self._position + 1) % len(self._slots)
            self._next_tick_at += self._tick_seconds
            for function in list(self._slots[self._position].values()):
                function()
        self._timer = None
        if self._slots_by_member:
            delay = max(0.0, self._next_tick_at - self._reactor.seconds())
            self._timer = self._reactor.callLater(delay, self._advance)
