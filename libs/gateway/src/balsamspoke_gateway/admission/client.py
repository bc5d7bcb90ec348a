"""Client of the admission control of side processes."""

from datetime import timedelta

from balsamspoke_types.timing import add_timeout
from twisted.internet.defer import Deferred

from ..exceptions import NO_DELAY, AdmissionAbandoned, AnswerOverdue
from .messages import AdmissionCancellation, AdmissionStatus

# An unanswered request is repeated after this time, a few round trips.
REPEAT_INTERVAL = timedelta(milliseconds=40)
# After this many unanswered requests the prompt is sent without admission: the side
# process may have ended, and the replica queues what it cannot prefill at once.
MAX_UNANSWERED_REQUESTS = 3
# The request for a queued prompt is repeated at this interval, as the reply that admits
# it may be lost.
QUEUED_REPEAT_INTERVAL = timedelta(milliseconds=200)
# Range in which the number of a process's first request is drawn.
NUMBER_RANGE = 2**31


class AdmissionClient:
    """Request the admission of prompts, and wait until they may be sent.

    Parameters
    ----------
    clock : Clock
        Source of time and of timeouts.
    peers : PeerSender
        Sends the requests.
    draw : callable
        Returns a random number in [0, 1).
    """

    def __init__(self, clock, peers, draw):
        self._clock = clock
        self._peers = peers
        self._waiters = {}
        # A side process remembers the numbers that it admitted before a restart.
        self._last_number = int(draw() * NUMBER_RANGE)

    def make_number(self):
        """Return a number that no other request of this process has."""
        self._last_number += 1
        return self._last_number

    async def wait_for_admission(self, ip, request):
        """Request admission of a prompt until it is admitted, rejected or expired.

        Parameters
        ----------
        ip : str
            IP address of the side process.
        request : AdmissionRequest
            The prompt.

        Returns
        -------
        AdmissionReply or None
            The last reply; its status is QUEUED if the prompt has expired. None if the
            side process does not reply.

        Raises
        ------
        AdmissionAbandoned
            If ``abandon`` ends the wait.
        """
        is_sent = False
        reply = None
        try:
            reply = await self._repeat(ip, request)
            is_sent = reply is None
            return reply
        finally:
            self._waiters.pop(request.number, None)
            if reply is None or reply.status is not AdmissionStatus.ADMITTED:
                self.cancel(ip, request.number, is_sent)

    def cancel(self, ip, number, is_sent=False):
        """Tell a side process that a prompt no longer waits, admitted or not.

        Parameters
        ----------
        ip : str
            IP address of the side process.
        number : int
            Number of the AdmissionRequest.
        is_sent : bool
            Whether the prompt is sent to the replica without admission.
        """
        self._peers.send(ip, AdmissionCancellation(number, is_sent))

    def abandon(self, ip):
        """End all waits for the side process at an IP address."""
        ended = [each for each, (key, _) in self._waiters.items() if key == ip]
        for number in ended:
            _, waiter = self._waiters.pop(number)
            waiter.errback(AdmissionAbandoned("its replica gets no more requests"))

    def record_reply(self, reply):
        """Resume the request that an AdmissionReply is for, if it still waits."""
        _, waiter = self._waiters.pop(reply.number, (None, None))
        if waiter is not None:
            waiter.callback(reply)

    async def _repeat(self, ip, request):
        """Send a request repeatedly; return the last AdmissionReply, or None."""
        expires = self._clock.monotonic() + timedelta(seconds=request.max_wait)
        interval = REPEAT_INTERVAL
        last_reply = None
        unanswered = 0
        is_answered = False
        while unanswered < MAX_UNANSWERED_REQUESTS:
            time_left = expires - self._clock.monotonic()
            if time_left <= NO_DELAY:
                return last_reply
            if not is_answered:
                self._peers.send(ip, request)
            reply = await self._wait(ip, request.number, min(interval, time_left))
            is_answered = reply is not None
            if reply is None:
                unanswered += 1
                continue
            if reply.status is not AdmissionStatus.QUEUED:
                return reply
            last_reply = reply
            interval = QUEUED_REPEAT_INTERVAL
            unanswered = 0
        return None

    async def _wait(self, ip, number, limit):
        """Return the next AdmissionReply to a request, or None after a time limit."""
        waiter = Deferred()
        self._waiters[number] = (ip, waiter)
        try:
            return await add_timeout(waiter, self._clock, limit, AnswerOverdue())
        except AnswerOverdue:
            return None
