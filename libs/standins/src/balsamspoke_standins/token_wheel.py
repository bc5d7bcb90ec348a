"""One timer for all streams that produce a token at the same interval."""

TICK_SECONDS = 0.004


class TokenWheel:
    """Call each member once every interval, spread over the ticks of one timer.

    Parameters
    ----------
    reactor : IReactorTime
        Runs the timer, only while there are members.
    interval : float
        Seconds between two calls of a member.
    """

    def __init__(self, reactor, interval):
        self._reactor = reactor
        self._slots = [{} for _ in range(max(1, round(interval / TICK_SECONDS)))]
        self._tick = interval / len(self._slots)
        self._places = {}
        self._position = 0
        self._timer = None
        self._next = 0.0

    def add(self, member, function):
        """Call a function every interval, first after one interval."""
        slot = self._slots[self._position]
        slot[member] = function
        self._places[member] = slot
        if self._timer is None:
            self._next = self._reactor.seconds() + self._tick
            self._timer = self._reactor.callLater(self._tick, self._turn)

    def remove(self, member):
        """Stop calling for a member; does nothing if it isn't one."""
        slot = self._places.pop(member, None)
        if slot is not None:
            del slot[member]

    def stop(self):
        """Drop all members."""
        for member in list(self._places):
            self.remove(member)

    def _turn(self):
        now = self._reactor.seconds()
        # After a long pause each member is called once, not for each tick missed.
        late = int((now - self._next) / self._tick)
        if late >= len(self._slots):
            self._next = now
        while self._next <= now:
            self._position = (self._position + 1) % len(self._slots)
            self._next += self._tick
            for function in list(self._slots[self._position].values()):
                function()
        self._timer = None
        if self._places:
            delay = max(0.0, self._next - self._reactor.seconds())
            self._timer = self._reactor.callLater(delay, self._turn)
