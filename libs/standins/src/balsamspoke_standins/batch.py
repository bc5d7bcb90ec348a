"""The engine stand-in's adapters and the requests in its batch."""

import heapq
import itertools
import random
from dataclasses import dataclass, field

from twisted.internet.task import deferLater

from .serving import HttpError
from .token_wheel import TokenWheel

_NOT_FOUND = 404
_CONFLICT = 409


@dataclass
class EngineSettings:
    """What the control path may change.

    Attributes
    ----------
    token_ms, load_ms : int
        Milliseconds between two tokens of a stream, and for a load.
    slots : int
        Adapters that are held at a time.
    batch : int
        Requests that run at a time.
    obeys_fencing : bool
        Whether orders with an old fencing number are refused.
    failing_adapters : list of str
        Adapters, as ``adapter:version``, whose loads fail.
    """

    token_ms: int = 40
    load_ms: int = 250
    slots: int = 8
    batch: int = 32
    obeys_fencing: bool = False
    failing_adapters: list = field(default_factory=list)


class Batch:
    """Run streams, at most so many at a time, on loaded adapters.

    Parameters
    ----------
    reactor : IReactorTime
        Runs the timers.
    settings : EngineSettings
        Read at each use.

    Attributes
    ----------
    boot : str
        Different after each restart.
    adapters : dict
        The loaded adapters, as keys.
    running : dict
        Streams in the batch by the request's name.
    evicted_in_use : int
        Streams that were cut by an unload.
    """

    def __init__(self, reactor, settings):
        self.settings = settings
        self.adapters = {}
        self.running = {}
        self.evicted_in_use = 0
        self.loads = 0
        self.fencing = 0
        self._reactor = reactor
        self._waiting = []
        self._order = itertools.count()
        self._wheel = None
        self.restart()

    @property
    def waiting(self):
        """Number of requests that wait for a place in the batch."""
        return sum(1 for *_, stream in self._waiting if not stream.has_ended)

    def restart(self):
        """Lose everything and come back with another boot id."""
        self.boot = f"{random.getrandbits(48):012x}"
        self.adapters.clear()
        streams = [*self.running.values(), *(item[-1] for item in self._waiting)]
        self.running.clear()
        self._waiting.clear()
        for stream in streams:
            stream.abort()
        self.use_token_time()

    def use_token_time(self):
        """Take over the token time of the settings for all streams."""
        if self._wheel is not None:
            self._wheel.stop()
        self._wheel = TokenWheel(self._reactor, self.settings.token_ms / 1000)
        for stream in self.running.values():
            self._wheel.add(stream, stream.step)

    def check_fencing(self, number):
        """Take the fencing number of an order.

        Raises
        ------
        HttpError
            With status 409 if it is old and the engine obeys fencing.
        """
        if self.settings.obeys_fencing and number < self.fencing:
            raise HttpError(_CONFLICT, "old fencing number")
        self.fencing = max(self.fencing, number)

    def load(self, adapter):
        """Load an adapter; return a Deferred of None."""
        delay = self.settings.load_ms / 1000
        return deferLater(self._reactor, delay, self._finish_load, adapter, self.boot)

    def unload(self, adapter):
        """Unload an adapter and cut the streams on it."""
        if adapter not in self.adapters:
            raise HttpError(_NOT_FOUND, f"{adapter} is not loaded")
        del self.adapters[adapter]
        for stream in list(self.running.values()):
            if stream.model == adapter:
                self.evicted_in_use += 1
                self.end(stream)
                stream.abort()

    def add(self, stream):
        """Run a stream as soon as there is room, the lowest priority number first."""
        item = (stream.priority, next(self._order), stream)
        heapq.heappush(self._waiting, item)
        self._fill()

    def end(self, stream):
        """Take a stream out; does nothing if it is out already."""
        stream.has_ended = True
        if self.running.get(stream.name) is stream:
            del self.running[stream.name]
            self._wheel.remove(stream)
            self._fill()

    def find(self, name):
        """Return the stream of a request, or None."""
        if name in self.running:
            return self.running[name]
        for *_, stream in self._waiting:
            if stream.name == name and not stream.has_ended:
                return stream
        return None

    def _fill(self):
        while self._waiting and len(self.running) < self.settings.batch:
            *_, stream = heapq.heappop(self._waiting)
            if not stream.has_ended:
                self.running[stream.name] = stream
                self._wheel.add(stream, stream.step)

    def _finish_load(self, adapter, boot):
        if boot != self.boot:
            raise HttpError(_CONFLICT, "the engine restarted")
        if adapter in self.settings.failing_adapters:
            raise HttpError(_CONFLICT, f"{adapter} can't be loaded")
        if adapter in self.adapters:
            return
        if len(self.adapters) >= self.settings.slots:
            raise HttpError(_CONFLICT, "no free slot")
        self.adapters[adapter] = True
        self.loads += 1
