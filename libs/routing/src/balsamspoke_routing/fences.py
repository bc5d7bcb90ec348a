"""Ask side processes whether attempts of other processes were handed over."""

from balsamspoke_types.messages import FenceAttempt
from twisted.internet.defer import Deferred


class FenceDesk:
    """Questions about attempts that wait for their answers.

    Parameters
    ----------
    clock : Clock
        Time.
    send : callable
        Sends a message to a ProcessId.
    wait : timedelta
        How long an answer is waited for.
    """

    def __init__(self, clock, send, wait):
        self._clock = clock
        self._send = send
        self._wait = wait
        self._waiting = {}

    def ask(self, peer, attempt):
        """Ask the run of a side process that an attempt was meant for.

        Returns
        -------
        Deferred
            Of True if it was handed over, False if it never will be, None if no
            answer came.
        """
        answer = Deferred()
        self._waiting.setdefault((peer, attempt), []).append(answer)
        self._send(peer, FenceAttempt(attempt))
        self._clock.call_later(self._wait, self._give_up, peer, attempt, answer)
        return answer

    def take_answer(self, peer, message):
        """Take AttemptFenced; it counts only from the process that was asked."""
        for answer in self._waiting.pop((peer, message.attempt), ()):
            answer.callback(message.handed_over)

    def _give_up(self, peer, attempt, answer):
        waiting = self._waiting.get((peer, attempt), [])
        if answer not in waiting:
            return
        waiting.remove(answer)
        if not waiting:
            del self._waiting[peer, attempt]
        answer.callback(None)
