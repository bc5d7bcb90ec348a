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

    def __init__(self, request, started, outbox, buffer_tokens, on_detached, on_end):
        self.request = request
        self.started = started
        self.generation = None
        self.slot = None
        self.is_at_engine = True
        self.is_connected = True
        self.produced = request.message.resume_offset
        self._outbox = outbox
        self._buffer_tokens = buffer_tokens
        self._on_detached = on_detached
        self._on_end = on_end
        self._credit = request.message.credit
        self._pending_chunks = []
        self._finish_message = None
        self._has_ended = False

    def add_tokens(self, offset, text, count):
        """Take tokens from the engine; drop repeated ones, fail on a gap."""
        if self._has_ended or not self.is_at_engine or offset + count <= self.produced:
            return
        if offset != self.produced:
            self.fail(StreamBroken(f"tokens at {offset} instead of {self.produced}"))
            return
        self.produced += count
        chunk = TokenChunk(self.request.message.attempt, offset, text, count)
        if self._pending_chunks or self._credit <= 0 or not self.is_connected:
            self._pending_chunks.append(chunk)
            self._flush()
        else:
            self._forward_chunk(chunk)

    def finish(self, reason, offset):
        """Take the engine's end; tokens without credit are sent before it."""
        if self._has_ended or not self.is_at_engine:
            return
        if offset != self.produced:
            self.fail(StreamBroken(f"end at {offset} instead of {self.produced}"))
            return
        attempt = self.request.message.attempt
        self._finish_message = GenerationFinished(attempt, offset, reason)
        self._detach(was_cancelled=False)
        self._flush()

    def fail(self, error):
        """Take the engine's error."""
        if not self._has_ended:
            is_not_run = isinstance(error, BackendRefused | BackendUnreachable)
            self._stop_generation(was_cancelled=not is_not_run)
            self._end(None, error)

    def cancel(self):
        """Stop the generation; ``on_end`` isn't called."""
        if not self._has_ended:
            self._has_ended = True
            self._stop_generation(was_cancelled=True)

    def add_credit(self, count):
        """Allow more tokens."""
        self._credit += count
        self._flush()
        self._update_flow()

    def set_connected(self, is_connected):
        """Read from the engine only while the entry process is connected."""
        self.is_connected = is_connected
        self._flush()
        self._update_flow()

    def attach(self, generation):
        """Note the Generation at the engine."""
        if self.is_at_engine:
            self.generation = generation
            self._update_flow()

    def _forward_chunk(self, chunk):
        """Send a chunk that nothing holds back, as nearly all are."""
        self._credit -= chunk.count
        self._outbox.add_chunk(self.request.peer, chunk)
        if self._credit <= 0:
            self._update_flow()

    def _flush(self):
        while self._pending_chunks and self._credit > 0 and self.is_connected:
            chunk = self._pending_chunks.pop(0)
            self._credit -= chunk.count
            self._outbox.add_chunk(self.request.peer, chunk)
        if (
            self._finish_message is not None
            and not self._pending_chunks
            and self.is_connected
        ):
            self._end(self._finish_message, None)
            return
        self._update_flow()
        if sum(chunk.count for chunk in self._pending_chunks) > self._buffer_tokens:
            self.fail(StreamBroken("more tokens without credit than can be held"))

    def _update_flow(self):
        if self.generation is None:
            return
        if self._credit > 0 and self.is_connected:
            self.generation.resume()
        else:
            self.generation.pause()

    def _stop_generation(self, was_cancelled):
        if self.generation is not None:
            self.generation.cancel()
        self._detach(was_cancelled)

    def _detach(self, was_cancelled):
        if self.is_at_engine:
            self.is_at_engine = False
            self.generation = None
            self._on_detached(self, was_cancelled)

    def _end(self, finished, error):
        if not self._has_ended:
            self._has_ended = True
            self._on_end(self, finished, error)
