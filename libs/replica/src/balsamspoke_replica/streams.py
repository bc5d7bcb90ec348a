"""Flow control and offset checks for the answer of one generation."""

from balsamspoke_types.exceptions import (
    BackendError,
    BackendRefused,
    BackendUnreachable,
)
from balsamspoke_types.messages import GenerationFinished, TokenChunk
from balsamspoke_types.ports import GenerationSink


class StreamBroken(BackendError):
    """The engine's answer has a gap, or overran the buffer while paused."""


class Stream(GenerationSink):
    """Forward the answer to one request from the engine to the entry process.

    Parameters
    ----------
    request : QueuedRequest
        The request that is answered.
    started : timedelta
        Monotonic time of the hand-over to the engine.
    outbox : Outbox
        Sends the tokens to the entry process.
    buffer_tokens : int
        Maximum number of tokens buffered for lack of credit or connection.
    on_detached : callable
        Called once with the stream and a bool when the generation is over for the
        engine. The bool is True if the engine may still run it for some time, as
        after a cancellation.
    on_end : callable
        Called once when the stream ends, with the stream, a GenerationFinished (None
        after an error) and the error (None without one); not called after ``cancel``.

    Attributes
    ----------
    request : QueuedRequest
        The request that is answered.
    started : timedelta
        Monotonic time of the hand-over to the engine.
    generation : Generation or None
        The generation at the engine; None before ``attach`` and after it ended.
    slot : Slot or None
        The pinned slot of the adapter, set by the replica.
    is_at_engine : bool
        Whether the generation takes a place in the engine's batch.
    is_connected : bool
        Whether the entry process is connected.
    produced : int
        Offset up to which the answer was received without gaps; starts at
        ``resume_offset``.
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
        """Receive tokens from the engine.

        Chunks whose tokens were all received before are dropped; the stream fails
        with StreamBroken if a chunk doesn't start where the last one ended.
        """
        if self._has_ended or not self.is_at_engine or offset + count <= self.produced:
            return
        if offset != self.produced:
            self.fail(
                StreamBroken(
                    f"received tokens at offset {offset}, expected {self.produced}"
                )
            )
            return
        self.produced += count
        chunk = TokenChunk(self.request.message.attempt, offset, text, count)
        if self._pending_chunks or self._credit <= 0 or not self.is_connected:
            self._pending_chunks.append(chunk)
            self._flush()
        else:
            self._forward_chunk(chunk)

    def finish(self, reason, offset):
        """Receive the end of the answer, and forward it after the buffered tokens."""
        if self._has_ended or not self.is_at_engine:
            return
        if offset != self.produced:
            self.fail(
                StreamBroken(
                    f"answer ended at offset {offset}, expected {self.produced}"
                )
            )
            return
        attempt = self.request.message.attempt
        self._finish_message = GenerationFinished(attempt, offset, reason)
        self._detach(was_cancelled=False)
        self._flush()

    def fail(self, error):
        """End the stream with an error of the engine or of the stream itself."""
        if not self._has_ended:
            is_not_run = isinstance(error, BackendRefused | BackendUnreachable)
            self._stop_generation(was_cancelled=not is_not_run)
            self._end(None, error)

    def cancel(self):
        """Cancel the generation without calling ``on_end``."""
        if not self._has_ended:
            self._has_ended = True
            self._stop_generation(was_cancelled=True)

    def add_credit(self, count):
        """Allow the entry process to be sent ``count`` more tokens."""
        self._credit += count
        self._flush()
        self._update_flow()

    def set_connected(self, is_connected):
        """Set whether the entry process is connected; if not, pause the generation."""
        self.is_connected = is_connected
        self._flush()
        self._update_flow()

    def attach(self, generation):
        """Set the Generation that the engine returned for the request."""
        if self.is_at_engine:
            self.generation = generation
            self._update_flow()

    def _forward_chunk(self, chunk):
        """Forward a chunk without buffering, as for nearly all chunks."""
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
            self.fail(
                StreamBroken(
                    "engine sent more tokens than the buffer holds while paused"
                )
            )

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
