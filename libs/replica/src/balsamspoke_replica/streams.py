"""One running generation: credits, offsets and its end."""

from balsamspoke_types.exceptions import (
    BackendError,
    BackendRefused,
    BackendUnreachable,
)
from balsamspoke_types.messages import GenerationFinished, TokenChunk
from balsamspoke_types.ports import GenerationSink


class StreamBroken(BackendError):
    """The engine's answer has a gap, or came faster than it may."""


class Stream(GenerationSink):
    """The answer to one request on its way from the engine to the entry process.

    Parameters
    ----------
    request : QueuedRequest
        The request.
    started : timedelta
        Monotonic time of the hand-over.
    outbox : Outbox
        Takes the tokens.
    buffer : int
        Most tokens held without credit.
    on_left : callable
        Called with the stream when the engine has no more part in it, and
        whether the engine may take some time to stop it.
    on_end : callable
        Called with the stream and a GenerationFinished, or None and an error.

    Attributes
    ----------
    generation : Generation or None
        At the engine; None when it ended there.
    slot : Slot or None
        What keeps its adapter loaded; set by the replica.
    produced : int
        Tokens of the answer that came from the engine.
    """

    def __init__(self, request, started, outbox, buffer, on_left, on_end):
        self.request = request
        self.started = started
        self.generation = None
        self.slot = None
        self.at_engine = True
        self.connected = True
        self.produced = request.order.resume_offset
        self._outbox = outbox
        self._buffer = buffer
        self._on_left = on_left
        self._on_end = on_end
        self._credit = request.order.credit
        self._held = []
        self._finished = None
        self._ended = False

    def add_tokens(self, offset, text, count):
        """Take tokens from the engine; drop repeated ones, fail on a gap."""
        if self._ended or not self.at_engine or offset + count <= self.produced:
            return
        if offset != self.produced:
            self.fail(StreamBroken(f"tokens at {offset} instead of {self.produced}"))
            return
        self.produced += count
        chunk = TokenChunk(self.request.order.attempt, offset, text, count)
        if self._held or self._credit <= 0 or not self.connected:
            self._held.append(chunk)
            self._pass_on()
        else:
            self._pass_at_once(chunk)

    def finish(self, reason, offset):
        """Take the engine's end; tokens without credit are sent before it."""
        if self._ended or not self.at_engine:
            return
        if offset != self.produced:
            self.fail(StreamBroken(f"end at {offset} instead of {self.produced}"))
            return
        attempt = self.request.order.attempt
        self._finished = GenerationFinished(attempt, offset, reason)
        self._leave_engine(was_cancelled=False)
        self._pass_on()

    def fail(self, error):
        """Take the engine's error."""
        if not self._ended:
            not_run = isinstance(error, BackendRefused | BackendUnreachable)
            self._stop_generation(was_cancelled=not not_run)
            self._end(None, error)

    def cancel(self):
        """Stop the generation; ``on_end`` isn't called."""
        if not self._ended:
            self._ended = True
            self._stop_generation(was_cancelled=True)

    def add_credit(self, count):
        """Allow more tokens."""
        self._credit += count
        self._pass_on()
        self._set_pace()

    def set_connected(self, connected):
        """Read from the engine only while the entry process is connected."""
        self.connected = connected
        self._pass_on()
        self._set_pace()

    def attach(self, generation):
        """Note the Generation at the engine."""
        if self.at_engine:
            self.generation = generation
            self._set_pace()

    def _pass_at_once(self, chunk):
        """Send a chunk that nothing holds back, as nearly all are."""
        self._credit -= chunk.count
        self._outbox.add_chunk(self.request.peer, chunk)
        if self._credit <= 0:
            self._set_pace()

    def _pass_on(self):
        while self._held and self._credit > 0 and self.connected:
            chunk = self._held.pop(0)
            self._credit -= chunk.count
            self._outbox.add_chunk(self.request.peer, chunk)
        if self._finished is not None and not self._held and self.connected:
            self._end(self._finished, None)
            return
        self._set_pace()
        if sum(chunk.count for chunk in self._held) > self._buffer:
            self.fail(StreamBroken("more tokens without credit than can be held"))

    def _set_pace(self):
        if self.generation is None:
            return
        if self._credit > 0 and self.connected:
            self.generation.resume()
        else:
            self.generation.pause()

    def _stop_generation(self, was_cancelled):
        if self.generation is not None:
            self.generation.cancel()
        self._leave_engine(was_cancelled)

    def _leave_engine(self, was_cancelled):
        if self.at_engine:
            self.at_engine = False
            self.generation = None
            self._on_left(self, was_cancelled)

    def _end(self, finished, error):
        if not self._ended:
            self._ended = True
            self._on_end(self, finished, error)
