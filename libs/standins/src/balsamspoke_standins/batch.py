"""Adapter slots and request batch of the engine stand-in."""

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
    """Settings of an engine, which ``POST /control`` can change.

    Attributes
    ----------
    token_ms : int
        Milliseconds between two tokens of a stream.
    load_ms : int
        Milliseconds that an adapter load takes.
    slots : int
        Maximum number of loaded adapters.
    batch : int
        Maximum number of running requests.
    obeys_fencing : bool
        Whether orders with a stale fencing token are refused.
    failing_adapters : list of str
        Adapters whose loads fail, as ``adapter:version``.
    """

    token_ms: int = 40
    load_ms: int = 250
    slots: int = 8
    batch: int = 32
    obeys_fencing: bool = False
    failing_adapters: list = field(default_factory=list)


class Batch:
    """Batch of running streams, with a priority queue of waiting ones.

    Parameters
    ----------
    reactor : IReactorTime
        Clock of token and load timers.
    settings : EngineSettings
        Settings, read at each use; ``token_ms`` is read only by
        ``apply_token_interval``, which ``restart`` calls.

    Attributes
    ----------
    boot : str
        Boot id, replaced at each restart.
    adapters : dict
        Loaded adapters as keys, in load order; all values are True.
    running : dict
        Running streams by request name.
    evicted_in_use : int
        Number of running streams that were aborted by an unload.
    loads : int
        Number of successful adapter loads.
    highest_fencing_token : int
        Highest fencing token received.
    """

    def __init__(self, reactor, settings):
        self.settings = settings
        self.adapters = {}
        self.running = {}
        self.evicted_in_use = 0
        self.loads = 0
        self.highest_fencing_token = 0
        self._reactor = reactor
        self._waiting = []
        self._sequence = itertools.count()
        self._wheel = None
        self.restart()

    @property
    def waiting(self):
        """Number of requests that wait for a slot in the batch."""
        return sum(1 for *_, stream in self._waiting if not stream.has_ended)

    def restart(self):
        """Simulate a restart: drop all adapters and streams, and renew the boot id."""
        self.boot = f"{random.getrandbits(48):012x}"
        self.adapters.clear()
        streams = [*self.running.values(), *(item[-1] for item in self._waiting)]
        self.running.clear()
        self._waiting.clear()
        for stream in streams:
            stream.abort()
        self.apply_token_interval()

    def apply_token_interval(self):
        """Apply the current ``token_ms`` to all running streams."""
        if self._wheel is not None:
            self._wheel.stop()
        self._wheel = TokenWheel(self._reactor, self.settings.token_ms / 1000)
        for stream in self.running.values():
            self._wheel.add(stream, stream.produce_token)

    def check_fencing(self, token):
        """Check and record the fencing token of an order.

        Raises
        ------
        HttpError
            With status 409 if the token is stale and the engine obeys fencing.
        """
        if self.settings.obeys_fencing and token < self.highest_fencing_token:
            raise HttpError(_CONFLICT, "old fencing number")
        self.highest_fencing_token = max(self.highest_fencing_token, token)

    def load(self, adapter):
        """Load an adapter; return a Deferred that fires once it is loaded.

        Raises
        ------
        HttpError
            With status 409 if the load fails.
        """
        delay = self.settings.load_ms / 1000
        return deferLater(self._reactor, delay, self._finish_load, adapter, self.boot)

    def unload(self, adapter):
        """Unload an adapter and abort its running streams.

        Raises
        ------
        HttpError
            With status 404 if the adapter isn't loaded.
        """
        if adapter not in self.adapters:
            raise HttpError(_NOT_FOUND, f"{adapter} is not loaded")
        del self.adapters[adapter]
        for stream in list(self.running.values()):
            if stream.model == adapter:
                self.evicted_in_use += 1
                self.end(stream)
                stream.abort()

    def add(self, stream):
        """Queue a stream; it runs once a slot is free, lowest priority number first."""
        item = (stream.priority, next(self._sequence), stream)
        heapq.heappush(self._waiting, item)
        self._start_waiting()

    def end(self, stream):
        """Remove a stream from the batch or the queue; a second call has no effect."""
        stream.has_ended = True
        if self.running.get(stream.name) is stream:
            del self.running[stream.name]
            self._wheel.remove(stream)
            self._start_waiting()

    def find(self, name):
        """Return the running or waiting stream of a request, or None."""
        if name in self.running:
            return self.running[name]
        for *_, stream in self._waiting:
            if stream.name == name and not stream.has_ended:
                return stream
        return None

    def _start_waiting(self):
        while self._waiting and len(self.running) < self.settings.batch:
            *_, stream = heapq.heappop(self._waiting)
            if not stream.has_ended:
                self.running[stream.name] = stream
                self._wheel.add(stream, stream.produce_token)

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
