"""Batching of the tokens of all streams to one peer into few messages."""

from datetime import timedelta

from balsamspoke_types.messages import TokensProduced

ZERO = timedelta(0)


class Outbox:
    """Send messages to peers in order, with tokens batched.

    Parameters
    ----------
    clock : Clock
        Monotonic time and timers.
    send : callable
        Called with a ProcessId and the message to send to it.
    collect_time : timedelta
        Minimum time between two messages with tokens to one peer. Tokens that
        arrive earlier are batched; later ones are sent immediately.
    """

    def __init__(self, clock, send, collect_time):
        self._clock = clock
        self._send = send
        self._collect_time = collect_time
        self._chunks = {}
        self._timers = {}
        self._flushed_at = {}

    def add_chunk(self, peer, chunk):
        """Send a TokenChunk to a peer, immediately or with the next batch."""
        self._chunks.setdefault(peer, []).append(chunk)
        if peer in self._timers:
            return
        wait = self._get_delay(peer)
        if wait > ZERO:
            self._timers[peer] = self._clock.call_later(wait, self.flush, peer)
        else:
            self.flush(peer)

    def send(self, peer, message):
        """Send a message to a peer, after the batched tokens of all its streams."""
        self.flush(peer)
        self._send(peer, message)

    def flush(self, peer):
        """Send the batched tokens of a peer."""
        timer = self._timers.pop(peer, None)
        if timer is not None:
            timer.cancel()
        chunks = self._chunks.pop(peer, None)
        if chunks:
            self._flushed_at[peer] = self._clock.monotonic()
            self._send(peer, TokensProduced(tuple(chunks)))

    def drop(self, peer):
        """Drop the batched tokens of a peer."""
        self._chunks.pop(peer, None)
        self._flushed_at.pop(peer, None)
        timer = self._timers.pop(peer, None)
        if timer is not None:
            timer.cancel()

    def stop(self):
        """Drop all batched tokens."""
        for peer in list(self._timers):
            self.drop(peer)

    def _get_delay(self, peer):
        flushed_at = self._flushed_at.get(peer)
        if flushed_at is None:
            return ZERO
        return flushed_at + self._collect_time - self._clock.monotonic()
