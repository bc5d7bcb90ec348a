"""Tracking of the generations on one engine: batch places, pins and ends."""

from balsamspoke_types.messages import AttemptFailed

from .events import RequestStarted
from .orders import build_generation_order
from .streams import Stream


class RunningGenerations:
    """Start generations, forward their answers, and call a listener as they end.

    Parameters
    ----------
    clock : Clock
        Monotonic time and timers.
    engine : Engine
        The engine that runs the generations.
    fencing : int
        Fencing token of this process.
    settings : ReplicaSettings
        Limits and intervals.
    loader : AdapterLoader
        Pins the adapter slots that the generations use.
    queue : QueuePolicy
        Refunds the tokens that were charged and not produced.
    outbox : Outbox
        Sends the answers to the entry processes.
    listener : EngineReplica
        Its methods ``generation_left_engine``, ``pin_released`` and
        ``generation_ended`` are called.
    on_event : callable
        Called with each RequestStarted event.
    """

    def __init__(
        self,
        clock,
        engine,
        fencing,
        settings,
        loader,
        queue,
        outbox,
        listener,
        on_event,
    ):
        self._clock = clock
        self._engine = engine
        self._fencing = fencing
        self._settings = settings
        self._loader = loader
        self._queue = queue
        self._outbox = outbox
        self._listener = listener
        self._on_event = on_event
        self._streams = {}
        self._batch = {}
        self._is_stopped = False

    def __len__(self):
        return len(self._streams)

    def __contains__(self, attempt):
        return attempt in self._streams

    @property
    def batch_usage(self):
        """Number of generations that take a place in the engine's batch."""
        return len(self._batch)

    def start(self, request, now):
        """Hand a QueuedRequest to the engine."""
        message = request.message
        stream = Stream(
            request,
            now,
            self._outbox,
            self._settings.stream_buffer,
            self._release_place,
            self._handle_end,
        )
        stream.slot = self._loader.pin(message.adapter)
        self._streams[message.attempt] = stream
        self._batch[message.attempt] = stream
        self._on_event(
            RequestStarted(message.attempt, message.team, now - request.arrival)
        )
        generation_order = build_generation_order(message, self._fencing)
        stream.attach(self._engine.generate(generation_order, stream))

    def add_credit(self, attempt, count):
        """Allow a generation ``count`` more tokens; ignore an unknown attempt."""
        stream = self._streams.get(attempt)
        if stream is not None:
            stream.add_credit(count)

    def set_connected(self, peer, is_connected):
        """Resume or pause the answers to a peer."""
        for stream in self._list_streams(peer):
            stream.set_connected(is_connected)

    def fail(self, attempt, cause):
        """Cancel a generation and send AttemptFailed; ignore an unknown attempt."""
        stream = self._streams.get(attempt)
        if stream is not None:
            self._fail(stream, cause)

    def fail_peer(self, peer, cause):
        """Cancel the generations of a peer, and send AttemptFailed for each."""
        for stream in self._list_streams(peer):
            self._fail(stream, cause)

    def fail_at_engine(self, cause):
        """Fail the generations that the engine has not ended yet."""
        for stream in list(self._batch.values()):
            self._fail(stream, cause)

    def fail_all(self, cause):
        """Fail all generations, those with only buffered tokens left included."""
        for stream in list(self._streams.values()):
            self._fail(stream, cause)

    def stop(self):
        """Cancel all generations immediately, without sending anything more."""
        self._is_stopped = True
        for stream in list(self._streams.values()):
            stream.cancel()
        self._streams.clear()

    def _list_streams(self, peer):
        return [
            stream for stream in self._streams.values() if stream.request.peer == peer
        ]

    def _fail(self, stream, cause):
        attempt = stream.request.message.attempt
        self._streams.pop(attempt, None)
        stream.cancel()
        if not self._is_stopped:
            self._outbox.send(stream.request.peer, AttemptFailed(attempt, cause))

    def _release_place(self, stream, was_cancelled):
        """Free the place of a stream in the batch, and its pin.

        The pin of a cancelled generation is kept for ``release_delay``, since the
        engine may still run it for that time.
        """
        message = stream.request.message
        self._batch.pop(message.attempt, None)
        self._queue.charge(message, stream.produced - message.max_tokens)
        if was_cancelled:
            delay = self._settings.release_delay
            self._clock.call_later(delay, self._release_pin, stream.slot)
        else:
            self._loader.unpin(stream.slot)
        self._listener.generation_left_engine(self._clock.monotonic() - stream.started)

    def _release_pin(self, slot):
        self._loader.unpin(slot)
        self._listener.pin_released()

    def _handle_end(self, stream, finished, error):
        self._streams.pop(stream.request.message.attempt, None)
        self._listener.generation_ended(stream.request, finished, error)
