"""Collecting of the tokens of all streams to one peer into few messages."""

from datetime import timedelta

from balsamspoke_types.messages import TokensProduced

ZERO = timedelta(0)


class Outbox:
    """Send messages to peers, tokens in groups and everything in order.

    Parameters
    ----------
    clock : Clock
        Time.
    send : callable
        Called with a ProcessId and a message.
    collect_time : timedelta
        Least time between two messages with tokens; what comes meanwhile is
        collected, and a token after a quiet time is sent at once.
    """

    def __init__(self, clock, send, collect_time):
        self._clock = clock
        self._send = send
        self._collect_time = collect_time
        self._chunks = {}
        self._timers = {}
        self._flushed_at = {}

    def add_chunk(self, peer, chunk):
        """Queue a TokenChunk for a peer."""
        self._chunks.setdefault(peer, []).append(chunk)
        if peer in self._timers:
            return
        wait = self._get_delay(peer)
        if wait > ZERO:
            self._timers[peer] = self._clock.call_later(wait, self.flush, peer)
        else:
            self.flush(peer)

    def send(self, peer, message):
        """Send a message behind the collected tokens of all streams to the peer."""
        self.flush(peer)
        self._send(peer, message)

    def flush(self, peer):
        """Send what was collected for a peer."""
        timer = self._timers.pop(peer, None)
        if timer is not None:
            timer.cancel()
        chunks = self._chunks.pop(peer, None)
        if chunks:
            self._flushed_at[peer] = self._clock.monotonic()
            self._send(peer, TokensProduced(tuple(chunks)))

    def drop(self, peer):
        """Drop what was collected for a peer."""
        self._chunks.pop(peer, None)
        self._flushed_at.pop(peer, None)
        timer = self._timers.pop(peer, None)
        if timer is not None:
            timer.cancel()

    def stop(self):
        """Drop everything."""
        for peer in list(self._timers):
            self.drop(peer)

    def _get_delay(self, peer):
        flushed_at = self._flushed_at.get(peer)
        if flushed_at is None:
            return ZERO
        return flushed_at + self._collect_time - self._clock.monotonic()
