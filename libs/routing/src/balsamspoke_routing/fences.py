"""Requests to side processes to fence attempts that they haven't handed over."""

from balsamspoke_types.messages import FenceAttempt
from twisted.internet.defer import Deferred


class FenceClient:
    """Send FenceAttempt messages and match the answers to them.

    Parameters
    ----------
    clock : Clock
        Source of timers.
    send : callable
        Called with a ProcessId and a message to send to it.
    timeout : timedelta
        Longest wait for an answer.
    """

    def __init__(self, clock, send, timeout):
        self._clock = clock
        self._send = send
        self._timeout = timeout
        self._pending = {}

    def request_fence(self, peer, attempt):
        """Ask a side process to fence an attempt unless it was handed over.

        Parameters
        ----------
        peer : ProcessId
            The instance of the side process that the attempt was meant for; another
            instance on the same VM can't answer for it.
        attempt : AttemptId
            The attempt, which may be of another entry process.

        Returns
        -------
        Deferred of bool or None
            True if the attempt was, or may have been, handed over; False if it never
            will be; None if no answer arrived in time.
        """
        answer = Deferred()
        self._pending.setdefault((peer, attempt), []).append(answer)
        self._send(peer, FenceAttempt(attempt))
        self._clock.call_later(self._timeout, self._expire, peer, attempt, answer)
        return answer

    def handle_answer(self, peer, message):
        """Handle AttemptFenced; answers of processes that weren't asked are ignored."""
        for answer in self._pending.pop((peer, message.attempt), ()):
            answer.callback(message.handed_over)

    def _expire(self, peer, attempt, answer):
        pending = self._pending.get((peer, attempt), [])
        if answer not in pending:
            return
        pending.remove(answer)
        if not pending:
            del self._pending[peer, attempt]
        answer.callback(None)
